/**
 * The commands by which the leader keeps the ledger: fencing of lost entries and pruning.
 *
 * @module
 */
import {
  type Command,
  type LeaseTable,
  longestAttemptMs,
  type State,
} from "@quetzalcove/core";

/** What the leader knows at one moment. */
export interface Situation {
  state: State;
  leases: LeaseTable;
  retentionMs: number;
  /** Monotonic time, for leases. */
  now: number;
  /** Wall-clock time, for records. */
  at: number;
}

/** The commands that are due. */
export function dueCommands(situation: Situation): Command[] {
  return [
    ...fences(situation),
    ...prunes(situation),
  ];
}

/** The longest time that a request may be in progress, in milliseconds. */
export function longestRequestMs(state: State): number {
  return Math.max(
    0,
    ...state.rules.services.map(longestAttemptMs),
  );
}

function fences({ state, leases, now, at }: Situation): Command[] {
  if (leases.isInGracePeriod(now)) {
    return [];
  }
  const live = new Set(
    leases.records()
      .filter((record) => leases.isValid(record, now))
      .map((record) => `${record.entry}#${record.incarnation}`),
  );
  const lost = new Map<string, Command>();
  for (
    const { entry, incarnation, phase } of Object.values(state.ledger.open)
  ) {
    const process = `${entry}#${incarnation}`;
    if (phase === "running" && !live.has(process)) {
      lost.set(process, { kind: "ledger.fence", entry, incarnation, at });
    }
  }
  return [...lost.values()];
}

function prunes({ state, retentionMs, at }: Situation): Command[] {
  const before = at - retentionMs;
  const { closed, released } = state.ledger;
  const oldest = [Object.values(closed)[0]?.at, Object.values(released)[0]];
  return oldest.some((since) => since !== undefined && since < before)
    ? [{ kind: "ledger.prune", before }]
    : [];
}
