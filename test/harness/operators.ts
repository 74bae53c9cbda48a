/**
 * Operators that change the configuration at the same time and record what they saw.
 *
 * @module
 */
import type { Inventory, Rules } from "@quetzalcove/core";
import { wait } from "@quetzalcove/daemon/scheduler";
import type { Cluster } from "./cluster.ts";
import type { Operation } from "./history.ts";

/** What operators work on. */
export interface ChangeWorkload {
  cluster: Cluster;
  /** The inventory and rules of the next change of an operator. */
  nextConfiguration: (
    operator: number,
    turn: number,
  ) => { inventory: Inventory; rules: Rules };
  /** Entries that operators call; may change while they work. */
  entries: () => readonly string[];
}

/** The answers to the accepted changes, by id. */
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
  /** Keeps the ids of changes apart from those of other groups. */
  readonly #group = groupCount += 1;
  #stopped = false;
  #tasks: Promise<void>[] = [];

  /** `pause` resolves when an operator makes its next change. */
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

  /** Ends after the changes that are under way have got an answer. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
  }

  /** Waits until a number of further changes was accepted. */
  async waitForAccepted(count: number): Promise<void> {
    const wanted = this.accepted.size + count;
    await this.#workload.cluster.waitFor(
      `${count} more changes`,
      () => this.accepted.size >= wanted,
    );
  }

  async #run(operator: number): Promise<void> {
    for (let turn = 0; !this.#stopped; turn += 1) {
      const base = await this.#read(operator, turn);
      if (base !== undefined) {
        await this.#change(operator, { turn, base });
      }
      await this.#pause();
    }
  }

  #entry(operator: number, turn: number): string {
    const entries = this.#workload.entries();
    return entries[(operator + turn) % entries.length] ?? "";
  }

  async #read(operator: number, turn: number): Promise<number | undefined> {
    const startedAt = performance.now();
    const entry = this.#entry(operator, turn);
    const status = await this.#workload.cluster.status(entry);
    this.history.push({
      operator: `operator ${operator}`,
      kind: "see",
      version: status?.version,
      startedAt,
      endedAt: performance.now(),
    });
    return status?.version;
  }

  /** Sends a change again, under the same id and through other entries, until it has an answer. */
  async #change(
    operator: number,
    { turn, base }: { turn: number; base: number },
  ): Promise<void> {
    const startedAt = performance.now();
    const change = `group-${this.#group}-operator-${operator}-turn-${turn}`;
    const request = {
      change,
      base,
      ...this.#workload.nextConfiguration(operator, turn),
    };
    let answer: Answer | undefined;
    for (
      let attempt = 0;
      answer === undefined && !this.#isAbandoned(attempt);
      attempt += 1
    ) {
      answer = await this.#send(this.#entry(operator, turn + attempt), request);
    }
    const endedAt = performance.now();
    const record = { operator: `operator ${operator}`, startedAt, endedAt };
    const { version, revision, fault } = answer ?? {};
    if (fault?.kind === "stale_version") {
      this.history.push({ ...record, kind: "see", version: fault.version });
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

  /** The answer when it is definite. */
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

/** Accepted changes that do not get their first answer when they are sent again. */
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
