/**
 * Concurrent operators that change the configuration and record the history of their operations.
 *
 * @module
 */
import type { Inventory, Rules } from "@quetzalcove/core";
import { wait } from "@quetzalcove/daemon/scheduler";
import type { Cluster } from "./cluster.ts";
import type { Operation } from "./history.ts";

/** Configuration changes for operators to make, and the entries to send them to. */
export interface ChangeWorkload {
  cluster: Cluster;
  /** The inventory and rules of a change, by operator and by index of the change. */
  nextConfiguration: (
    operator: number,
    index: number,
  ) => { inventory: Inventory; rules: Rules };
  /** Entries that operators currently send to. */
  entries: () => readonly string[];
}

/** Base and answer of each accepted change, by id. */
export type AcceptedChanges = Map<
  string,
  { base: number; version: number; revision: number }
>;

interface Answer {
  version?: number;
  revision?: number;
  fault?: { kind: string; version?: number };
}

let groupCount = 0;

export class Operators {
  readonly history: Operation[] = [];
  readonly accepted: AcceptedChanges = new Map();
  readonly #workload: ChangeWorkload;
  readonly #pause: () => Promise<void>;
  /** Makes change ids unique among all groups of operators. */
  readonly #group = groupCount += 1;
  #stopped = false;
  #tasks: Promise<void>[] = [];

  /** Each operator waits for `pause` after a change. */
  constructor(workload: ChangeWorkload, pause = () => wait(0)) {
    this.#workload = workload;
    this.#pause = pause;
  }

  start(operators: number): void {
    this.#tasks = Array.from(
      { length: operators },
      (_, operator) => this.#run(operator),
    );
  }

  /** Resolves once the pending changes have been answered or, after one attempt, abandoned. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
  }

  /** Waits until `count` further changes have been accepted. */
  async waitForAccepted(count: number): Promise<void> {
    const expectedCount = this.accepted.size + count;
    await this.#workload.cluster.waitFor(
      `${count} further accepted changes`,
      () => this.accepted.size >= expectedCount,
    );
  }

  async #run(operator: number): Promise<void> {
    for (let index = 0; !this.#stopped; index += 1) {
      const base = await this.#read(operator, index);
      if (base !== undefined) {
        await this.#change(operator, { index, base });
      }
      await this.#pause();
    }
  }

  #entry(operator: number, index: number): string {
    const entries = this.#workload.entries();
    return entries[(operator + index) % entries.length] ?? "";
  }

  async #read(operator: number, index: number): Promise<number | undefined> {
    const startedAt = performance.now();
    const entry = this.#entry(operator, index);
    const status = await this.#workload.cluster.status(entry);
    this.history.push({
      operator: `operator ${operator}`,
      kind: "read",
      version: status?.version,
      startedAt,
      endedAt: performance.now(),
    });
    return status?.version;
  }

  /** Sends a change, retrying under the same id through other entries until the answer is definite. */
  async #change(
    operator: number,
    { index, base }: { index: number; base: number },
  ): Promise<void> {
    const startedAt = performance.now();
    const change = `group-${this.#group}-operator-${operator}-turn-${index}`;
    const request = {
      change,
      base,
      ...this.#workload.nextConfiguration(operator, index),
    };
    let answer: Answer | undefined;
    for (
      let attempt = 0;
      answer === undefined && !this.#isAbandoned(attempt);
      attempt += 1
    ) {
      answer = await this.#send(
        this.#entry(operator, index + attempt),
        request,
      );
    }
    const endedAt = performance.now();
    const record = { operator: `operator ${operator}`, startedAt, endedAt };
    const { version, revision, fault } = answer ?? {};
    if (fault?.kind === "stale_version") {
      this.history.push({ ...record, kind: "read", version: fault.version });
      return;
    }
    this.history.push({ ...record, kind: "change", base, version });
    if (version !== undefined && revision !== undefined) {
      this.accepted.set(change, { base, version, revision });
    }
  }

  #isAbandoned(attempt: number): boolean {
    return this.#stopped && attempt > 0;
  }

  /** Returns the answer if it is definite: the change was accepted, or its base is stale. */
  async #send(
    entry: string,
    request: Parameters<Cluster["configure"]>[1],
  ): Promise<Answer | undefined> {
    const answer = await this.#workload.cluster.configure(entry, request);
    const value = answer?.value as Answer | undefined;
    const isDefinite = answer?.status === 200 ||
      value?.fault?.kind === "stale_version";
    return isDefinite ? value : undefined;
  }
}

/** Accepted changes that get another answer than the first one when they are sent again. */
export async function lostChanges(
  workload: ChangeWorkload,
  accepted: AcceptedChanges,
): Promise<string[]> {
  const lost: string[] = [];
  for (const [change, first] of accepted) {
    const [entry = ""] = workload.entries();
    const request = {
      change,
      base: first.base,
      ...workload.nextConfiguration(0, 0),
    };
    const again = await workload.cluster.configure(entry, request);
    if (
      again?.value.version !== first.version ||
      again.value.revision !== first.revision
    ) {
      lost.push(change);
    }
  }
  return lost;
}
