/**
 * State size, message size and CPU time of the core package at several fleet sizes, measured in this process.
 *
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  apply,
  type Command,
  decideMaintenance,
  emptyState,
  Grant,
  parse,
  Renewal,
  Router,
  routesOf,
  Settings,
  type State,
  TargetRegistry,
  TargetTableCopy,
  View,
  viewSince,
} from "@quetzalcove/core";
import {
  LeaderTermState,
  Observer,
  PlatformAgentClient,
} from "@quetzalcove/daemon";
import type { Sample } from "./fit.ts";
import {
  inventoryOf,
  rulesOf,
  targetsOf,
  TWO_YEAR_PLAN,
} from "./fleet_data.ts";

/** One quantity of one role at several fleet sizes. */
export interface Series {
  role: string;
  quantity: string;
  unit: string;
  /** Unit of the size, for example `VM`. */
  per: string;
  samples: Sample[];
}

const REPEATS = 30;
const BYTES_PER_MB = 1_048_576;
const US_PER_MS = 1_000;
const START_MS = 1_800_000_000_000;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Measures the heap that a value retains, in MB, with two garbage collections before each reading. */
function measureHeap<T>(make: () => T): { value: T; megabytes: number } {
  collectGarbage();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const value = make();
  collectGarbage();
  collectGarbage();
  return {
    value,
    megabytes: (process.memoryUsage().heapUsed - before) / BYTES_PER_MB,
  };
}

/** Measures the mean CPU time of a step in milliseconds, after as many warm-up repetitions. */
function measureCpuMs(step: () => void): number {
  for (let i = 0; i < REPEATS; i++) {
    step();
  }
  const before = process.cpuUsage();
  for (let i = 0; i < REPEATS; i++) {
    step();
  }
  const used = process.cpuUsage(before);
  return (used.user + used.system) / US_PER_MS / REPEATS;
}

const noop = (): void => {};
const SILENT_LOGGER = { debug: noop, info: noop, warn: noop, error: noop };

function createSettings(): Settings {
  return Settings.parse({
    cluster: "bench",
    entry: "e1",
    zone: "zone-0",
    listen: {
      service: "127.0.0.1:1",
      admin: "127.0.0.1:2",
      link: "127.0.0.1:3",
    },
    peers: Array.from({ length: TWO_YEAR_PLAN.entries }, (_, index) => ({
      entry: `e${index + 1}`,
      zone: "zone-0",
      link: `127.0.1.${index + 1}:3`,
      admin: `127.0.1.${index + 1}:2`,
      replica: index < TWO_YEAR_PLAN.replicas,
    })),
  });
}

function configureCommand(vms: number, base: number): Command {
  return {
    kind: "configure",
    change: `change-${base}`,
    base,
    inventory: inventoryOf(vms),
    rules: rulesOf(),
    at: START_MS,
  };
}

function createState(vms: number): State {
  const state = emptyState();
  apply(state, configureCommand(vms, 0));
  return state;
}

/** Measures every quantity at the given numbers of VMs. */
export function measureInProcess(sizes: readonly number[]): Series[] {
  const seriesByKey = new Map<string, Series>();
  const add = (series: Omit<Series, "samples">, sample: Sample): void => {
    const key = `${series.role}/${series.quantity}/${series.unit}`;
    const knownSeries = seriesByKey.get(key) ?? { ...series, samples: [] };
    knownSeries.samples.push(sample);
    seriesByKey.set(key, knownSeries);
  };
  for (const size of sizes) {
    measureEntry(size, add);
    measureLeader(size, add);
    measureReplica(size, add);
  }
  return [...seriesByKey.values()];
}

type AddSample = (series: Omit<Series, "samples">, sample: Sample) => void;

/** State that an entry keeps for a fleet. */
interface EntryState {
  view: View;
  copy: TargetTableCopy;
  router: Router;
}

function createEntryState(
  state: State,
  announced: ReturnType<typeof targetsOf>,
): EntryState {
  const view = new View();
  view.apply(JSON.parse(JSON.stringify(viewSince(state, -1))));
  const copy = new TargetTableCopy();
  const set = Object.fromEntries(announced.map((one) => [one.target, one]));
  copy.apply(
    1,
    JSON.parse(JSON.stringify({ from: 0, to: 1, set, deleted: [] })),
    true,
  );
  const router = new Router({
    entry: "e1",
    incarnation: 1,
    random: () => 0.5,
  });
  router.setServices(view.rules.services, 0);
  const lookup = {
    service: (name: string) => view.service(name),
    vm: (name: string) => view.vms.get(name),
  };
  router.setTargets(routesOf(copy.targets(), lookup), 0);
  return { view, copy, router };
}

function measureEntry(size: number, add: AddSample): void {
  const state = createState(size);
  const announced = targetsOf(state.inventory);
  const { value: entry, megabytes } = measureHeap(() =>
    createEntryState(state, announced)
  );
  const series = { role: "entry", per: "VM" };
  add({ ...series, quantity: "view, table and routes", unit: "MB" }, {
    size,
    value: megabytes,
  });
  const renewal = createRenewal(entry);
  const bytes = JSON.stringify(renewal).length;
  add({ ...series, quantity: "steady renewal", unit: "bytes" }, {
    size,
    value: bytes,
  });
  const cpu = measureCpuMs(() => JSON.stringify(createRenewal(entry)));
  add({ ...series, quantity: "steady renewal", unit: "ms CPU" }, {
    size,
    value: cpu,
  });
  const full = JSON.stringify(viewSince(state, -1)).length;
  add({ ...series, quantity: "full view", unit: "bytes" }, {
    size,
    value: full,
  });
  const announcedCount = Math.ceil(size / TWO_YEAR_PLAN.entries);
  const registry = new TargetRegistry(createSettings().targets);
  const announceMs = measureCpuMs(() => {
    announced.slice(0, announcedCount).forEach((one) =>
      registry.announce(one, 0)
    );
    registry.expire(0);
  });
  add({ ...series, quantity: "announcements of its share", unit: "ms CPU" }, {
    size,
    value: announceMs,
  });
}

function createRenewal({ view, copy, router }: EntryState): Renewal {
  return {
    entry: "e1",
    zone: "zone-0",
    incarnation: 1,
    revision: view.revision,
    tableTerm: copy.term,
    tableVersion: copy.version,
    announced: { from: 1, to: 1, set: {}, deleted: [] },
    inFlight: {},
    usage: Object.fromEntries(view.rules.services.map(({ name }) => [name, {
      inFlight: 3,
      queued: 0,
      finished: 1_000,
      refused: 1,
      failed: 1,
    }])),
    unhealthy: [],
    stopping: false,
    slots: router.report(1, 1_000),
  };
}

function measureLeader(size: number, add: AddSample): void {
  const state = createState(size);
  const announced = targetsOf(state.inventory);
  const series = { role: "leader", per: "VM" };
  const { value: termState, megabytes } = measureHeap(() =>
    createTermState(state, announced)
  );
  add({ ...series, quantity: "leases, table and slots", unit: "MB" }, {
    size,
    value: megabytes,
  });
  const renewal = createRenewal(createEntryState(state, announced));
  renewal.tableTerm = 1;
  renewal.tableVersion = termState.targets.version;
  const text = JSON.stringify(renewal);
  let grant = "";
  const cpu = measureCpuMs(() => {
    const parsed = parse(Renewal, JSON.parse(text), "renewal");
    grant = parsed.ok
      ? JSON.stringify(termState.renew(parsed.val, state, 1_000))
      : "";
    parse(Grant, JSON.parse(grant), "grant");
  });
  add({ ...series, quantity: "renewal of one entry", unit: "ms CPU" }, {
    size,
    value: cpu,
  });
  add({ ...series, quantity: "steady grant", unit: "bytes" }, {
    size,
    value: grant.length,
  });
  const observer = new Observer(START_MS);
  const agents = new PlatformAgentClient(SILENT_LOGGER);
  const decisionMs = measureCpuMs(() => {
    const time = { now: 60_000, at: START_MS + 60_000 };
    const observation = observer.observe(state, termState, agents, time);
    decideMaintenance(state, observation, { now: time.at });
  });
  add({ ...series, quantity: "maintenance decision", unit: "ms CPU" }, {
    size,
    value: decisionMs,
  });
}

function createTermState(
  state: State,
  announced: ReturnType<typeof targetsOf>,
): LeaderTermState {
  const termState = new LeaderTermState(createSettings(), 1, 0);
  const share = Math.ceil(announced.length / TWO_YEAR_PLAN.entries);
  const entry = createEntryState(state, announced);
  for (let index = 0; index < TWO_YEAR_PLAN.entries; index++) {
    const entryTargets = announced.slice(index * share, (index + 1) * share);
    const set = Object.fromEntries(
      entryTargets.map((one) => [one.target, one]),
    );
    const message = createRenewal(entry);
    termState.renew(
      {
        ...message,
        entry: `e${index + 1}`,
        announced: { from: 0, to: 1, set, deleted: [] },
        slots: { ...message.slots, entry: `e${index + 1}` },
      },
      state,
      1,
    );
  }
  return termState;
}

function measureReplica(size: number, add: AddSample): void {
  const series = { role: "replica", per: "VM" };
  const { value: state, megabytes } = measureHeap(() => createState(size));
  add({ ...series, quantity: "replicated state", unit: "MB" }, {
    size,
    value: megabytes,
  });
  const snapshot = JSON.stringify(state);
  add({ ...series, quantity: "snapshot", unit: "bytes" }, {
    size,
    value: snapshot.length,
  });
  const writeMs = measureCpuMs(() => JSON.stringify(state));
  add({ ...series, quantity: "writing a snapshot", unit: "ms CPU" }, {
    size,
    value: writeMs,
  });
  const change = JSON.stringify(configureCommand(size, 0));
  add({ ...series, quantity: "one change", unit: "bytes" }, {
    size,
    value: change.length,
  });
  const applyMs = measureCpuMs(() => {
    apply(emptyState(), JSON.parse(change) as Command);
  });
  add({ ...series, quantity: "applying a change", unit: "ms CPU" }, {
    size,
    value: applyMs,
  });
}
