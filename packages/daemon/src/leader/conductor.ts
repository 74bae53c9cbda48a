/**
 * The commands that the leader proposes on its own: fencing of lost entries, ends of drains, moves between pools and
 * pruning of the ledger.
 *
 * @module
 */
import {
  type Command,
  type LeaseTable,
  longestAttemptMs,
  type State,
  type VmRecord,
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
    ...drainEnds(situation),
    ...moves(situation),
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
  if (leases.inherits(now)) {
    return [];
  }
  const live = new Set(
    leases.records()
      .filter((record) => leases.isLive(record, now))
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

function drainEnds({ state, leases, now, at }: Situation): Command[] {
  const longest = longestRequestMs(state);
  return Object.values(state.vms)
    .filter((vm) => vm.phase === "draining" && leases.isIdle(vm, longest, now))
    .map((vm) => phaseCommand(vm, "drained", at));
}

function moves({ state, at }: Situation): Command[] {
  const commands: Command[] = [];
  for (const { name, pool } of state.inventory.vms) {
    const record = state.vms[name];
    if (record === undefined) {
      continue;
    }
    if (record.pool !== pool && record.phase === "serving") {
      commands.push({
        ...phaseCommand(record, "draining", at),
        reason: "move",
      });
    } else if (record.pool !== pool && record.phase === "drained") {
      commands.push({
        kind: "vm.move",
        vm: name,
        from: record.pool,
        to: pool,
        at,
      });
    } else if (
      record.pool === pool && record.phase === "drained" &&
      record.reason === "move"
    ) {
      commands.push(phaseCommand(record, "serving", at));
    }
  }
  return commands;
}

function phaseCommand(
  vm: VmRecord,
  to: VmRecord["phase"],
  at: number,
): Extract<Command, { kind: "vm.phase" }> {
  return {
    kind: "vm.phase",
    vm: vm.name,
    from: vm.phase,
    to,
    reason: vm.reason,
    at,
  };
}

function prunes({ state, retentionMs, at }: Situation): Command[] {
  const before = at - retentionMs;
  const { closed, released } = state.ledger;
  const oldest = [Object.values(closed)[0]?.at, Object.values(released)[0]];
  return oldest.some((since) => since !== undefined && since < before)
    ? [{ kind: "ledger.prune", before }]
    : [];
}
