/**
 * Test fixture: a running cluster with a configuration and targets, which records all runs and exchanges.
 *
 * @module
 */
import type {
  Announcement,
  Inventory,
  Rules,
  Settings,
  Vms,
} from "@quetzalcove/core";
import {
  Announcer,
  Behaviour,
  callAdmin,
  type Run,
  Target,
} from "@quetzalcove/emulator";
import { Cluster, networkPrefix, TARGET_PORT } from "./cluster.ts";
import {
  call,
  type CallOptions,
  type ReceivedAnswer,
  testInventory,
  testRules,
} from "./services.ts";

/** Options of a cluster fixture. */
export interface FixtureOptions {
  entries: number;
  replicas: number;
  vms: number;
  /** Overrides of the rules of both services. */
  rules?: Record<string, unknown>;
  /** Overrides of the maintenance rules. */
  maintenance?: Partial<Rules["maintenance"]>;
  settings?: Partial<Settings>;
  /** Options of Node.js for every daemon; none unless given. */
  nodeOptions?: readonly string[];
  /** Whether each VM has a target of every service, so that VMs can move between pools. */
  allServices?: boolean;
  /** Default run time of a request. */
  runMs?: number;
}

/** A request with its answer, and the runs of it that the targets had recorded by then. */
export interface Exchange {
  call: CallOptions;
  /** Undefined if the connection was lost. */
  answer: ReceivedAnswer | undefined;
  runsBefore: number;
  runs: number;
  startedAt: number;
  endedAt: number;
}

const SLOTS_PER_TARGET = 8;
const CONNECTIONS_PER_TARGET = 128;

export class ClusterFixture {
  readonly cluster: Cluster;
  readonly configuration: { inventory: Inventory; rules: Rules };
  readonly runs: Run[] = [];
  readonly exchanges: Exchange[] = [];
  readonly #options: FixtureOptions;
  readonly #runsByPath = new Map<string, number>();
  readonly #runsByKey = new Map<string, number>();
  readonly #targets = new Map<string, Target>();
  readonly #announcers = new Map<string, Announcer>();

  constructor(options: FixtureOptions) {
    this.#options = options;
    this.configuration = {
      inventory: testInventory(options.vms),
      rules: testRules(options.rules),
    };
    Object.assign(this.configuration.rules.maintenance, options.maintenance);
    this.cluster = new Cluster({
      entries: options.entries,
      replicas: options.replicas,
      ...(options.settings !== undefined && { settings: options.settings }),
      ...(options.nodeOptions !== undefined && {
        nodeOptions: options.nodeOptions,
      }),
    });
  }

  /** Starts everything and waits until each entry serves each service. */
  async start(): Promise<void> {
    await this.cluster.start();
    await this.cluster.configure("e1", {
      change: "first",
      base: 0,
      ...this.configuration,
    });
    const all = this.#announcements();
    await Promise.all(all.map((announcement, index) => {
      return this.#startTarget(announcement, index);
    }));
    await this.cluster.waitFor(
      "targets",
      async () =>
        (await this.cluster.status("e1"))?.counts.targets === all.length,
    );
    await this.waitUntilServing(this.cluster.names);
  }

  async stop(): Promise<void> {
    this.#announcers.forEach((announcer) => announcer.stop());
    await this.cluster.stop();
    this.#targets.forEach((target) => target.kill());
  }

  /** Waits until the given entries serve each service. */
  async waitUntilServing(entries: readonly string[]): Promise<void> {
    await this.cluster.waitFor(`service at ${entries.join(", ")}`, async () => {
      const answers = await Promise.all(entries.flatMap((name) => {
        const entry = this.cluster.service(name);
        return ["intake", "charts"].map((service) =>
          call({ entry, service, path: "/ready" })
        );
      }));
      return answers.every((one) => one?.status === 200);
    });
  }

  /** Sends a request through an entry and records the exchange. */
  async send(
    entry: string,
    options: Omit<CallOptions, "entry">,
  ): Promise<ReceivedAnswer | undefined> {
    const startedAt = performance.now();
    const runsBefore = this.runCount(options);
    const sent = { ...options, entry: this.cluster.service(entry) };
    const answer = await call(sent);
    this.exchanges.push({
      call: sent,
      answer,
      runsBefore,
      runs: this.runCount(options),
      startedAt,
      endedAt: performance.now(),
    });
    return answer;
  }

  /** Number of runs of a request at all targets, by its key if it has one, otherwise by its path. */
  runCount(options: Pick<CallOptions, "key" | "path">): number {
    const { key, path } = options;
    return (key === undefined
      ? this.#runsByPath.get(path)
      : this.#runsByKey.get(key)) ?? 0;
  }

  #record(run: Run): void {
    this.runs.push(run);
    const { key, path } = run;
    this.#runsByPath.set(path, (this.#runsByPath.get(path) ?? 0) + 1);
    if (key !== undefined) {
      this.#runsByKey.set(key, (this.#runsByKey.get(key) ?? 0) + 1);
    }
  }

  target(name: string): Target {
    const target = this.#targets.get(name);
    if (target === undefined) {
      throw new Error(`No target "${name}"`);
    }
    return target;
  }

  targets(): Target[] {
    return [...this.#targets.values()];
  }

  /** Announces that a target is leaving; resolves once an entry has confirmed the announcement. */
  announceLeaving(target: string): Promise<void> {
    return this.#announcers.get(target)?.leave() ?? Promise.resolve();
  }

  /**
   * Orders a drain or resume of a VM through an entry and waits for the resulting phase. `onRead` is called with each
   * state that was read of the VM, and the wall-clock time at which it was requested.
   */
  async orderAndWait(
    vm: string,
    order: "drain" | "resume",
    entry: string,
    onRead: (state: Vms["vms"][number], requestedAt: number) => void = () => {},
  ): Promise<void> {
    const wantedPhase = order === "drain" ? "drained" : "serving";
    await this.cluster.waitFor(`${vm} ${wantedPhase}`, async () => {
      const requestedAt = Date.now();
      const state = (await this.cluster.vms(entry)).find((one) =>
        one.name === vm
      );
      if (state !== undefined) {
        onRead(state, requestedAt);
      }
      if (state?.phase !== wantedPhase) {
        await callAdmin(
          this.cluster.admin(entry),
          `/v1/vms/${vm}/${order}`,
          {},
        );
      }
      return state?.phase === wantedPhase;
    });
  }

  /**
   * Orders a drain of a VM and waits until it is drained. Returns the wall-clock time at which the VM was last seen in
   * service, because the leader starts the drain only when the services have enough capacity without the VM.
   */
  async drain(vm: string, entry: string): Promise<number> {
    let servedAt = Date.now();
    await this.orderAndWait(vm, "drain", entry, (state, requestedAt) => {
      servedAt = state.phase === "serving" ? requestedAt : servedAt;
    });
    return servedAt;
  }

  async #startTarget(announcement: Announcement, index: number): Promise<void> {
    const target = new Target({
      announcement,
      defaultBehaviour: Behaviour.parse({ runMs: this.#options.runMs ?? 10 }),
      record: (run) => this.#record(run),
    });
    await target.start();
    const entries = this.cluster.services();
    const announcer = new Announcer(announcement, entries, index);
    announcer.start();
    this.#targets.set(announcement.target, target);
    this.#announcers.set(announcement.target, announcer);
  }

  #announcements(): Announcement[] {
    const { inventory, rules } = this.configuration;
    return inventory.vms.flatMap((vm, index) => {
      return rules.services
        .filter((service) =>
          this.#options.allServices === true || service.pool === vm.pool
        )
        .map((service, port) => ({
          target: `${vm.name}/${service.name}`,
          vm: vm.name,
          service: service.name,
          address: `${networkPrefix("targets")}.1.${index + 1}:${
            TARGET_PORT + port
          }`,
          slots: SLOTS_PER_TARGET,
          connections: CONNECTIONS_PER_TARGET,
          condition: "serving",
          incarnation: 1,
          sequence: 0,
        }));
    });
  }
}

/** Exchanges whose answer contradicts the recorded runs: `not run` although it ran, or `done` although it did not. */
export function falseAnswers(exchanges: readonly Exchange[]): Exchange[] {
  return exchanges.filter(({ call, answer, runs, runsBefore }) => {
    if (answer === undefined) {
      return false;
    }
    if (answer.outcome === "not run") {
      return runs > 0 && (call.key !== undefined || runs > runsBefore);
    }
    return answer.outcome === "done" && answer.status < 500 && runs === 0;
  });
}
