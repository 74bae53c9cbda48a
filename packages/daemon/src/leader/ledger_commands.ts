/**
 * Commands that the leader proposes for the request ledger: fencing of entry processes without a lease, and pruning.
 *
 * @module
 */
import {
  type Command,
  type LeaseTable,
  longestAttemptMs,
  type State,
} from "@quetzalcove/core";

/** Inputs of the ledger commands. */
export interface LedgerInputs {
  state: State;
  leases: LeaseTable;
  retentionMs: number;
  /** Monotonic time in milliseconds, for leases. */
  now: number;
  /** Wall-clock time in milliseconds, for records. */
  at: number;
}

/** The ledger commands that are due. */
export function dueLedgerCommands(inputs: LedgerInputs): Command[] {
  return [
    ...fenceCommands(inputs),
    ...pruneCommands(inputs),
  ];
}

/** The longest time that a request may be in progress, in milliseconds. */
export function longestRequestMs(state: State): number {
  return Math.max(
    0,
    ...state.rules.services.map(longestAttemptMs),
  );
}

function fenceCommands({ state, leases, now, at }: LedgerInputs): Command[] {
  if (leases.isInGracePeriod(now)) {
    return [];
  }
  const leasedProcesses = new Set(
    leases.records()
      .filter((record) => leases.isValid(record, now))
      .map((record) => `${record.entry}#${record.incarnation}`),
  );
  const fences = new Map<string, Command>();
  for (
    const { entry, incarnation, phase } of Object.values(state.ledger.open)
  ) {
    const process = `${entry}#${incarnation}`;
    if (phase === "running" && !leasedProcesses.has(process)) {
      fences.set(process, { kind: "ledger.fence", entry, incarnation, at });
    }
  }
  return [...fences.values()];
}

function pruneCommands({ state, retentionMs, at }: LedgerInputs): Command[] {
  const before = at - retentionMs;
  const { closed, released } = state.ledger;
  const oldestTimes = [
    Object.values(closed)[0]?.at,
    Object.values(released)[0],
  ];
  return oldestTimes.some((time) => time !== undefined && time < before)
    ? [{ kind: "ledger.prune", before }]
    : [];
}
