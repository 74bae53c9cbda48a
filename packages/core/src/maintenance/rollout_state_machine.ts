/**
 * Applies the commands of rounds, waves and planned stops to the replicated state.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import type { VmRecord } from "../fleet.ts";
import { Err, Ok, type Result } from "../result.ts";
import type { State } from "../state.ts";
import {
  deleteVmHistory,
  incremented,
  isDue,
  MAX_CONSECUTIVE_STOPS,
  pendingReboot,
  rebootOperation,
  recordFailure,
  type Rollout,
  type RolloutCommand,
} from "./rollout.ts";

/** The part of the state that a rollout command changes. */
export type RolloutState = Pick<
  State,
  "rollout" | "vms" | "revision" | "inventory" | "removed"
>;

/** Applies a rollout command in place and returns the view revision after it; a command that fails changes nothing. */
export function applyRollout(
  state: RolloutState,
  command: RolloutCommand,
): Result<number, Fault> {
  switch (command.kind) {
    case "round.open":
      return openRound(state, command);
    case "wave.start":
      return startWave(state, command);
    case "wave.end":
      return endWave(state, command);
    case "wave.resume":
      return resumeWaves(state);
    case "reboot.refused":
      return recordRefusal(state, command);
    case "vm.remove":
      return removeVm(state, command);
    case "vm.want":
      return setWanted(state, command);
  }
}

type CommandOf<K extends RolloutCommand["kind"]> = Extract<
  RolloutCommand,
  { kind: K }
>;

function openRound(
  state: RolloutState,
  command: CommandOf<"round.open">,
): Result<number, Fault> {
  const { rollout } = state;
  if (command.round !== rollout.round + 1 || rollout.wave !== null) {
    return conflict(
      `Round ${command.round} cannot follow round ${rollout.round} now`,
    );
  }
  rollout.round = command.round;
  rollout.startedAt = roundStart(state, command.at);
  rollout.requested = command.requested;
  rollout.passed = 0;
  rollout.postponed = {};
  rollout.refused = {};
  return Ok(state.revision);
}

/** A start after every maintenance so far, even when the clock of a new leader is behind. */
function roundStart(state: RolloutState, at: number): number {
  const times = Object.values(state.vms).map((vm) => vm.maintainedAt + 1);
  return times.reduce((a, b) => Math.max(a, b), at);
}

function startWave(
  state: RolloutState,
  command: CommandOf<"wave.start">,
): Result<number, Fault> {
  const { rollout, vms } = state;
  if (rollout.wave !== null || command.id !== rollout.lastWave + 1) {
    return conflict(
      `Wave ${command.id} cannot follow wave ${rollout.lastWave} now`,
    );
  }
  const ineligible = command.vms.find((name) =>
    !isEligible(vms[name], rollout)
  );
  if (ineligible !== undefined) {
    return conflict(
      `VM "${ineligible}" is not serving or was already maintained in round ${rollout.round}`,
    );
  }
  state.revision += 1;
  for (const name of command.vms) {
    Object.assign(vms[name] ?? {}, {
      phase: "draining",
      reason: "wave",
      since: command.at,
      revision: state.revision,
    });
  }
  const { id, domain, canary, at } = command;
  rollout.wave = { id, domain, canary, vms: command.vms, startedAt: at };
  rollout.lastWave = id;
  return Ok(state.revision);
}

function isEligible(record: VmRecord | undefined, rollout: Rollout): boolean {
  return record?.phase === "serving" && isDue(record, rollout);
}

function endWave(
  state: RolloutState,
  command: CommandOf<"wave.end">,
): Result<number, Fault> {
  const { rollout } = state;
  if (rollout.wave?.id !== command.id) {
    return conflict(`Wave ${command.id} is not running`);
  }
  rollout.wave = null;
  if (command.outcome === "passed") {
    rollout.passed += 1;
    rollout.stops = 0;
  } else if (command.outcome === "stopped") {
    rollout.passed = 0;
    rollout.stops += command.correlated ? MAX_CONSECUTIVE_STOPS : 1;
    rollout.stoppedAt = command.at;
    rollout.suspects = [...new Set([...rollout.suspects, ...command.failed])];
  }
  return Ok(state.revision);
}

function resumeWaves(state: RolloutState): Result<number, Fault> {
  state.rollout.stops = 0;
  state.rollout.suspects = [];
  return Ok(state.revision);
}

function recordRefusal(
  state: RolloutState,
  command: CommandOf<"reboot.refused">,
): Result<number, Fault> {
  const { rollout, vms } = state;
  const record = vms[command.vm];
  const expected = record && pendingReboot(rollout, record);
  if (record === undefined || command.operation !== expected) {
    return conflict(
      `VM "${command.vm}" does not wait for operation "${command.operation}"`,
    );
  }
  if (record.phase === "rebooting") {
    state.revision += 1;
    record.phase = "failed";
    record.reason = "failure";
    record.since = command.at;
    record.revision = state.revision;
    recordFailure(rollout, record);
  }
  if (command.operation === rebootOperation(rollout, command.vm)) {
    rollout.refused[command.vm] = incremented(
      rollout.refused[command.vm],
      command.at,
    );
  }
  delete rollout.unconfirmed[command.vm];
  return Ok(state.revision);
}

function removeVm(
  state: RolloutState,
  command: CommandOf<"vm.remove">,
): Result<number, Fault> {
  const record = state.vms[command.vm];
  const listed = state.inventory.vms.some((vm) => vm.name === command.vm);
  const stopped = record?.phase === "drained" || record?.phase === "failed";
  if (listed || !stopped) {
    return conflict(`VM "${command.vm}" is listed, unknown or not yet drained`);
  }
  state.revision += 1;
  delete state.vms[command.vm];
  state.removed[command.vm] = state.revision;
  deleteVmHistory(state.rollout, command.vm);
  return Ok(state.revision);
}

function setWanted(
  state: RolloutState,
  command: CommandOf<"vm.want">,
): Result<number, Fault> {
  if (state.vms[command.vm] === undefined) {
    return Err(fault("not_found", `VM "${command.vm}" is in no inventory`));
  }
  if (command.out) {
    state.rollout.wanted[command.vm] ??= command.at;
  } else {
    delete state.rollout.wanted[command.vm];
  }
  return Ok(state.revision);
}

function conflict(message: string): Result<never, Fault> {
  return Err(fault("conflict", message));
}
