/**
 * A running cluster with an inventory, rules and targets, and what was sent to it.
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

/** What a fixture is made of. */
export interface FixtureOptions {
  entries: number;
  replicas: number;
  vms: number;
  /** Changes to the rules of both services. */
  rules?: Record<string, unknown>;
  /** Changes to the rules of maintenance. */
  maintenance?: Partial<Rules["maintenance"]>;
  settings?: Partial<Settings>;
  /** Whether each VM has a target of every service, for moves between pools. */
  allServices?: boolean;
  /** Usual run time of a request, in milliseconds. */
  runMs?: number;
}

/** One delivery of a request with the runs that the targets had recorded when its answer came. */
export interface Exchange {
  call: CallOptions;
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

  constructor(plan: FixtureOptions) {
    this.#options = plan;
    this.configuration = {
      inventory: testInventory(plan.vms),
      rules: testRules(plan.rules),
    };
    Object.assign(this.configuration.rules.maintenance, plan.maintenance);
    this.cluster = new Cluster({
      entries: plan.entries,
      replicas: plan.replicas,
      ...(plan.settings !== undefined && { settings: plan.settings }),
    });
  }

  /** Starts everything and waits until each entry serves a request of each service. */
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

  /** Waits until entries serve a request of each service. */
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

  /** Sends a request through an entry and records the delivery. */
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

  /** Runs of a request at all targets, by its key or else by its path. */
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

  /** Lets a target say that it leaves; resolves when an entry confirmed it. */
  announceLeaving(target: string): Promise<void> {
    return this.#announcers.get(target)?.leave() ?? Promise.resolve();
  }

  /** Orders a change of one VM and waits for a phase; `note` gets each reading, and when it was asked for. */
  async orderAndWait(
    vm: string,
    order: "drain" | "resume",
    at: string,
    note: (row: Vms["vms"][number], askedAt: number) => void = () => {},
  ): Promise<void> {
    const wanted = order === "drain" ? "drained" : "serving";
    await this.cluster.waitFor(`${vm} ${wanted}`, async () => {
      const askedAt = Date.now();
      const row = (await this.cluster.vms(at)).find((one) => one.name === vm);
      if (row !== undefined) {
        note(row, askedAt);
      }
      if (row?.phase !== wanted) {
        await callAdmin(this.cluster.admin(at), `/v1/vms/${vm}/${order}`, {});
      }
      return row?.phase === wanted;
    });
  }

  /**
   * Orders a VM out of service and waits until it is drained. Returns when it was last known to serve, by the wall
   * clock: the leader starts a drain only when the services can spare the VM.
   */
  async drain(vm: string, at: string): Promise<number> {
    let servedAt = Date.now();
    await this.orderAndWait(vm, "drain", at, (row, askedAt) => {
      servedAt = row.phase === "serving" ? askedAt : servedAt;
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

/** Deliveries whose answer the targets' own record contradicts. */
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
