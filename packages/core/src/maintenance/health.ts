/**
 * Finds VMs that failed and brings back those that answer again. A VM that fails repeatedly has to answer for longer
 * each time, after the route flap damping of RFC 2439.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { Pass } from "./pass.ts";

/** A VM that does not answer for this long has failed. */
export const FAILURE_MS = 10_000;
/** How long a VM must answer before it serves again, after its first failure. */
const STABLE_MS = 5_000;
const MAX_STABLE_MS = 1_800_000;
/** When more than this share of the serving VMs is silent at once, the observer is suspected instead. */
const MAX_SILENT_SHARE = 0.5;
const MIN_SILENT_VMS = 3;

/** Marks silent VMs as failed, unless so many are silent that the observation itself is in doubt. */
export function findFailures(pass: Pass): void {
  const serving = Object.values(pass.state.vms).filter(mustAnswer);
  const silent = serving.filter((record) => isSilent(pass, record));
  const doubtful = silent.length >= MIN_SILENT_VMS &&
    silent.length > serving.length * MAX_SILENT_SHARE;
  if (doubtful) {
    pass.hold({
      rule: "observer",
      figure: silent.length,
      limit: Math.floor(serving.length * MAX_SILENT_SHARE),
      message:
        `${silent.length} of ${serving.length} serving VMs are silent at once; none is marked as failed`,
    });
    return;
  }
  for (const record of silent) {
    pass.changePhase(record, "failed", "failure");
  }
}

/** An operator may switch off a VM that is drained for them; any other has to answer until it reboots. */
function mustAnswer(record: VmRecord): boolean {
  return record.phase === "serving" || record.phase === "draining" ||
    record.phase === "drained" && record.reason === "wave";
}

function isSilent(pass: Pass, record: VmRecord): boolean {
  const since = pass.condition(record.name)?.since ?? pass.now;
  return !answers(pass, record) && pass.now - since >= FAILURE_MS;
}

/** Whether a VM answers; one that the platform has drained may have no targets left to answer. */
export function answers(pass: Pass, record: VmRecord): boolean {
  const condition = pass.condition(record.name);
  return condition?.live !== false || condition.platformDrained;
}

/** Moves a failed or returning VM towards service. */
export function recover(pass: Pass, record: VmRecord): void {
  const requiredMs = stableMs(pass, record);
  if (pass.condition(record.name)?.platformDrained === true) {
    resume(pass, record);
    holdUnstable(pass, record, requiredMs);
    giveUp(pass, record);
  } else if (!pass.liveFor(record.name, requiredMs)) {
    holdUnstable(pass, record, requiredMs);
    giveUp(pass, record);
  } else if (record.phase === "failed") {
    pass.changePhase(record, "returning", "failure");
  } else {
    pass.changePhase(record, "serving", "none");
  }
}

/** Asks the platform to let a VM run work again. */
export function resume(pass: Pass, record: VmRecord): void {
  pass.act({
    kind: "resume",
    vm: record.name,
    operation: `resume/${record.revision}/${record.name}`,
  });
}

/** How long a VM must have answered before it serves again. */
export function stableMs(pass: Pass, record: VmRecord): number {
  const count = pass.state.rollout.failures[record.name]?.count ?? 0;
  return Math.min(STABLE_MS * 2 ** Math.max(0, count - 1), MAX_STABLE_MS);
}

function holdUnstable(pass: Pass, record: VmRecord, requiredMs: number): void {
  const condition = pass.condition(record.name);
  const liveMs = condition?.live === true ? pass.now - condition.since : 0;
  pass.hold({
    rule: "stability",
    vm: record.name,
    figure: liveMs,
    limit: requiredMs,
    message:
      `VM "${record.name}" has answered for ${liveMs} ms and serves again after ${requiredMs} ms`,
  });
}

function giveUp(pass: Pass, record: VmRecord): void {
  const waited = pass.now - record.since;
  if (record.phase === "returning" && waited >= pass.rules.rebootTimeoutMs) {
    pass.changePhase(record, "failed", "failure");
  }
}
