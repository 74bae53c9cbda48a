/**
 * Proposed commands that wait to be applied.
 *
 * @module
 */
import { Err, type Fault, fault, type Result } from "@quetzalcove/core";

interface Waiter<O> {
  term: number;
  settle: (result: Result<O, Fault>) => void;
}

/** Proposals of commands whose output is of type `O`. */
export class Proposals<O> {
  readonly #waiters = new Map<number, Waiter<O>>();

  /** Waits for the entry at an index, if it is of the given term. */
  add(index: number, waiter: Waiter<O>): void {
    this.#waiters.set(index, waiter);
  }

  /** Reports what became of the entry at an index. Without a result the entry was no command. */
  settle(
    { index, term }: { index: number; term: number },
    result: Result<O, Fault> | undefined,
  ): void {
    const waiter = this.#waiters.get(index);
    this.#waiters.delete(index);
    const isOwn = result !== undefined && waiter?.term === term;
    waiter?.settle(isOwn ? result : Err(lostLeadership()));
  }

  /** Fails all proposals; they may still be applied. */
  loseAll(): void {
    for (const waiter of this.#waiters.values()) {
      waiter.settle(Err(lostLeadership()));
    }
    this.#waiters.clear();
  }
}

/** A replica that stopped takes nothing in, so what it is asked did not run. */
export function stoppedReplica(): Fault {
  return fault("no_leader", "This replica has stopped", { outcome: "not run" });
}

/** The outcome of what was proposed or asked is not known. */
export function lostLeadership(): Fault {
  return fault(
    "no_leader",
    "Leadership was lost before the command was confirmed",
  );
}
