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
  awaitedReboot,
  counted,
  forgetVm,
  isDue,
  noteFailure,
  rebootOperation,
  type Rollout,
  type RolloutCommand,
  STOPS_UNTIL_HEALTHY,
} from "./rollout.ts";

/** The part of the state that a rollout command changes. */
export type RolloutTarget = Pick<
  State,
  "rollout" | "vms" | "revision" | "inventory" | "removed"
>;

/** Applies a rollout command in place; one that fails changes nothing. Returns the new revision. */
export function applyRollout(
  target: RolloutTarget,
  command: RolloutCommand,
): Result<number, Fault> {
  switch (command.kind) {
    case "round.open":
      return openRound(target, command);
    case "wave.start":
      return startWave(target, command);
    case "wave.end":
      return endWave(target, command);
    case "wave.resume":
      return resume(target);
    case "reboot.refused":
      return refuse(target, command);
    case "vm.remove":
      return remove(target, command);
    case "vm.want":
      return want(target, command);
  }
}

type Of<K extends RolloutCommand["kind"]> = Extract<
  RolloutCommand,
  { kind: K }
>;

function openRound(
  target: RolloutTarget,
  command: Of<"round.open">,
): Result<number, Fault> {
  const { rollout } = target;
  if (command.round !== rollout.round + 1 || rollout.wave !== null) {
    return conflict(
      `Round ${command.round} cannot follow round ${rollout.round} now`,
    );
  }
  rollout.round = command.round;
  rollout.startedAt = latest(target, command.at);
  rollout.requested = command.requested;
  rollout.passed = 0;
  rollout.postponed = {};
  rollout.refused = {};
  return Ok(target.revision);
}

/** A start later than every maintenance so far, also when the clock of a new leader is behind. */
function latest(target: RolloutTarget, at: number): number {
  const ends = Object.values(target.vms).map((vm) => vm.maintainedAt + 1);
  return ends.reduce((a, b) => Math.max(a, b), at);
}

function startWave(
  target: RolloutTarget,
  command: Of<"wave.start">,
): Result<number, Fault> {
  const { rollout, vms } = target;
  if (rollout.wave !== null || command.id !== rollout.lastWave + 1) {
    return conflict(
      `Wave ${command.id} cannot follow wave ${rollout.lastWave} now`,
    );
  }
  const unfit = command.vms.find((name) => !mayJoin(vms[name], rollout));
  if (unfit !== undefined) {
    return conflict(
      `VM "${unfit}" is not serving or was already maintained in round ${rollout.round}`,
    );
  }
  target.revision += 1;
  for (const name of command.vms) {
    Object.assign(vms[name] ?? {}, {
      phase: "draining",
      reason: "wave",
      since: command.at,
      revision: target.revision,
    });
  }
  const { id, domain, canary, at } = command;
  rollout.wave = { id, domain, canary, vms: command.vms, startedAt: at };
  rollout.lastWave = id;
  return Ok(target.revision);
}

function mayJoin(record: VmRecord | undefined, rollout: Rollout): boolean {
  return record?.phase === "serving" && isDue(record, rollout);
}

function endWave(
  target: RolloutTarget,
  command: Of<"wave.end">,
): Result<number, Fault> {
  const { rollout } = target;
  if (rollout.wave?.id !== command.id) {
    return conflict(`Wave ${command.id} is not running`);
  }
  rollout.wave = null;
  if (command.outcome === "passed") {
    rollout.passed += 1;
    rollout.stops = 0;
  } else if (command.outcome === "stopped") {
    rollout.passed = 0;
    rollout.stops += command.correlated ? STOPS_UNTIL_HEALTHY : 1;
    rollout.stoppedAt = command.at;
    rollout.suspects = [...new Set([...rollout.suspects, ...command.failed])];
  }
  return Ok(target.revision);
}

function resume(target: RolloutTarget): Result<number, Fault> {
  target.rollout.stops = 0;
  target.rollout.suspects = [];
  return Ok(target.revision);
}

function refuse(
  target: RolloutTarget,
  command: Of<"reboot.refused">,
): Result<number, Fault> {
  const { rollout, vms } = target;
  const record = vms[command.vm];
  const expected = record && awaitedReboot(rollout, record);
  if (record === undefined || command.operation !== expected) {
    return conflict(
      `VM "${command.vm}" does not wait for operation "${command.operation}"`,
    );
  }
  if (record.phase === "rebooting") {
    target.revision += 1;
    record.phase = "failed";
    record.reason = "failure";
    record.since = command.at;
    record.revision = target.revision;
    noteFailure(rollout, record);
  }
  if (command.operation === rebootOperation(rollout, command.vm)) {
    rollout.refused[command.vm] = counted(
      rollout.refused[command.vm],
      command.at,
    );
  }
  delete rollout.unconfirmed[command.vm];
  return Ok(target.revision);
}

function remove(
  target: RolloutTarget,
  command: Of<"vm.remove">,
): Result<number, Fault> {
  const record = target.vms[command.vm];
  const listed = target.inventory.vms.some((vm) => vm.name === command.vm);
  const stopped = record?.phase === "drained" || record?.phase === "failed";
  if (listed || !stopped) {
    return conflict(`VM "${command.vm}" is listed, unknown or not yet drained`);
  }
  target.revision += 1;
  delete target.vms[command.vm];
  target.removed[command.vm] = target.revision;
  forgetVm(target.rollout, command.vm);
  return Ok(target.revision);
}

function want(
  target: RolloutTarget,
  command: Of<"vm.want">,
): Result<number, Fault> {
  if (target.vms[command.vm] === undefined) {
    return Err(fault("not_found", `VM "${command.vm}" is in no inventory`));
  }
  if (command.out) {
    target.rollout.wanted[command.vm] ??= command.at;
  } else {
    delete target.rollout.wanted[command.vm];
  }
  return Ok(target.revision);
}

function conflict(message: string): Result<never, Fault> {
  return Err(fault("conflict", message));
}
