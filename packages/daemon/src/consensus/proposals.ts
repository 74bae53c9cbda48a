/**
 * Proposed commands that are not applied yet.
 *
 * @module
 */
import { Err, type Fault, fault, type Result } from "@quetzalcove/core";

interface PendingProposal<O> {
  term: number;
  settle: (result: Result<O, Fault>) => void;
}

/** Proposals of commands whose output is of type `O`. */
export class PendingProposals<O> {
  readonly #proposals = new Map<number, PendingProposal<O>>();

  /** Adds the proposal whose command is the log entry at an index, provided that the entry has the proposal's term. */
  add(index: number, proposal: PendingProposal<O>): void {
    this.#proposals.set(index, proposal);
  }

  /** Settles the proposal of an applied log entry; the result is undefined if the entry is not a command. */
  settle(
    { index, term }: { index: number; term: number },
    result: Result<O, Fault> | undefined,
  ): void {
    const proposal = this.#proposals.get(index);
    this.#proposals.delete(index);
    const isOwn = result !== undefined && proposal?.term === term;
    proposal?.settle(isOwn ? result : Err(leadershipLostFault()));
  }

  /** Fails all proposals; their commands may still be applied. */
  failAll(): void {
    for (const proposal of this.#proposals.values()) {
      proposal.settle(Err(leadershipLostFault()));
    }
    this.#proposals.clear();
  }
}

/** The fault of calls to a stopped replica, which accepts nothing, so that they did not run. */
export function replicaStoppedFault(): Fault {
  return fault("no_leader", "This replica has stopped", { outcome: "not run" });
}

/** The fault of proposals and reads that were pending when leadership was lost; their outcome is unknown. */
export function leadershipLostFault(): Fault {
  return fault(
    "no_leader",
    "Leadership was lost before the command was confirmed",
  );
}

/** A command that no link carries would be sent again and again, and keep all later ones from their commit. */
export function oversizeFault(length: number, maxMessageBytes: number): Fault {
  return fault(
    "too_large",
    `Command of ${length} characters does not fit into a message of ${maxMessageBytes} bytes`,
    {
      outcome: "not run",
      remedy: "Send less at once, or raise link.maxMessageBytes on all nodes",
    },
  );
}
