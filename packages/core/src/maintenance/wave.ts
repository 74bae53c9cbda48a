/**
 * Evaluates the wave in progress: whether it may continue, has passed, or stops because its VMs fail.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";
import type { Wave } from "./rollout.ts";
import { windowRemainingMs } from "./window.ts";

/** Waves of fewer VMs stop after one failure. */
const SMALL_WAVE_VMS = 4;
/** Failures after which a larger wave stops, since coincidence is unlikely. */
const CORRELATED_FAILURES = 2;

/** Whether a VM is out of service for the current wave. */
export function isMember(pass: Pass, record: VmRecord): boolean {
  return pass.state.rollout.wave?.vms.includes(record.name) === true &&
    record.reason === "wave";
}

/** Why the VMs of the wave that have not stopped yet must return to service; undefined when they need not. */
export function waveAbort(pass: Pass): Hold | undefined {
  const { wave } = pass.state.rollout;
  if (wave === null) {
    return { rule: "wave", message: "The wave of this VM has ended" };
  }
  if (!pass.rules.enabled) {
    return { rule: "disabled", message: "Maintenance is disabled" };
  }
  if (windowRemainingMs(pass.rules.windows, pass.now) === 0) {
    return { rule: "window", message: "The maintenance window has ended" };
  }
  const failed = failedMembers(pass, wave);
  return mustStop(wave, failed) ? stopHold(wave, failed) : undefined;
}

/** Ends the wave when it has passed, stopped or maintained no VM. */
export function evaluateWave(pass: Pass, wave: Wave): void {
  const members = wave.vms.flatMap((name) => pass.state.vms[name] ?? []);
  const failed = failedMembers(pass, wave);
  const out = members.filter((record) => !isSettled(record));
  if (out.length > 0) {
    pass.reportHold(inProgressHold(wave, out));
  } else if (mustStop(wave, failed)) {
    pass.reportHold(stopHold(wave, failed));
    endWave(pass, wave, "stopped");
  } else if (!members.some((record) => isMaintained(pass, record))) {
    endWave(pass, wave, "postponed");
  } else {
    bake(pass, wave, members);
  }
}

/** Whether a member's stop has ended, in service, as a failure or for a reason other than the wave. */
function isSettled(record: VmRecord): boolean {
  return record.phase === "serving" || record.phase === "failed" ||
    record.reason !== "wave" && record.phase !== "returning";
}

function isMaintained(pass: Pass, record: VmRecord): boolean {
  return record.maintainedAt >= pass.state.rollout.startedAt;
}

/** The members that failed since the wave started. */
export function failedMembers(pass: Pass, wave: Wave): string[] {
  const { failures } = pass.state.rollout;
  return wave.vms.filter((name) => failures[name]?.wave === wave.id);
}

function mustStop(wave: Wave, failed: string[]): boolean {
  const isStrict = wave.canary || wave.vms.length < SMALL_WAVE_VMS;
  return failed.length >= (isStrict ? 1 : CORRELATED_FAILURES);
}

function bake(pass: Pass, wave: Wave, members: VmRecord[]): void {
  const silent = members.find((record) =>
    record.phase === "serving" && !pass.hasAnsweredFor(record.name, 0)
  );
  const settledAt = Math.max(...members.map((record) => record.since));
  const bakedMs = pass.now - settledAt;
  if (silent === undefined && bakedMs >= pass.rules.bakeMs) {
    endWave(pass, wave, "passed");
    return;
  }
  pass.reportHold({
    rule: "bake",
    domain: wave.domain,
    figure: bakedMs,
    limit: pass.rules.bakeMs,
    message: silent === undefined
      ? `The VMs of wave ${wave.id} have been back for ${bakedMs} ms of ${pass.rules.bakeMs} ms`
      : `VM "${silent.name}" of wave ${wave.id} does not answer`,
  });
}

function endWave(
  pass: Pass,
  wave: Wave,
  outcome: "passed" | "postponed" | "stopped",
): void {
  const failed = failedMembers(pass, wave);
  pass.propose({
    kind: "wave.end",
    id: wave.id,
    outcome,
    correlated: failed.length >= CORRELATED_FAILURES,
    failed,
    at: pass.now,
  });
}

function inProgressHold(wave: Wave, out: VmRecord[]): Hold {
  return {
    rule: "wave",
    domain: wave.domain,
    figure: out.length,
    limit: 0,
    message:
      `Wave ${wave.id} in "${wave.domain}" has ${out.length} of ${wave.vms.length} VMs out`,
  };
}

function stopHold(wave: Wave, failed: string[]): Hold {
  return {
    rule: "paused",
    domain: wave.domain,
    figure: failed.length,
    limit: wave.vms.length,
    message:
      `Wave ${wave.id} stops: ${failed.length} of ${wave.vms.length} VMs failed (${
        failed.join(", ")
      })`,
  };
}
