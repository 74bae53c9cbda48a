/**
 * Marks VMs that stopped answering as failed and returns recovered ones to service. With each repeated failure a VM
 * must answer for longer before it serves again, following the route flap damping of RFC 2439.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { Pass } from "./pass.ts";
import { FAILURE_TIMEOUT_MS } from "./silence.ts";

/** How long a VM must answer before it serves again after its first failure; doubles with each further failure. */
const BASE_STABLE_MS = 5_000;
const MAX_STABLE_MS = 1_800_000;
/** If a larger share of the VMs that must answer is silent at once, the observation is taken to be at fault. */
const MAX_SILENT_SHARE = 0.5;
/** With fewer silent VMs the observation is trusted whatever their share. */
const MIN_SILENT_VMS = 3;

/** Marks silent VMs as failed, unless so many are silent at once that the observation itself is doubtful. */
export function markFailures(pass: Pass): void {
  const expected = Object.values(pass.state.vms).filter(mustAnswer);
  const silent = expected.filter((record) => isSilent(pass, record));
  const isDoubtful = silent.length >= MIN_SILENT_VMS &&
    silent.length > expected.length * MAX_SILENT_SHARE;
  if (isDoubtful) {
    pass.reportHold({
      rule: "observer",
      figure: silent.length,
      limit: Math.floor(expected.length * MAX_SILENT_SHARE),
      message:
        `${silent.length} of ${expected.length} serving VMs are silent at once; none is marked as failed`,
    });
    return;
  }
  for (const record of silent) {
    pass.changePhase(record, "failed", "failure");
  }
}

/**
 * Whether silence of a VM means a failure. Operators may switch off a VM that is drained for them; any other VM must
 * answer until it reboots.
 */
function mustAnswer(record: VmRecord): boolean {
  return record.phase === "serving" || record.phase === "draining" ||
    record.phase === "drained" && record.reason === "wave";
}

function isSilent(pass: Pass, record: VmRecord): boolean {
  const since = pass.condition(record.name)?.since ?? pass.now;
  return !answers(pass, record) && pass.now - since >= FAILURE_TIMEOUT_MS;
}

/** False for a VM that is known to be silent, unless the platform has drained it and may have stopped its targets. */
export function answers(pass: Pass, record: VmRecord): boolean {
  const condition = pass.condition(record.name);
  return condition?.live !== false || condition.platformDrained;
}

/** Takes the next step for a VM that is failed or returning. */
export function recover(pass: Pass, record: VmRecord): void {
  const requiredMs = requiredStableMs(pass, record);
  if (pass.condition(record.name)?.platformDrained === true) {
    resume(pass, record);
    reportUnstable(pass, record, requiredMs);
    failAfterTimeout(pass, record);
  } else if (!pass.hasAnsweredFor(record.name, requiredMs)) {
    reportUnstable(pass, record, requiredMs);
    failAfterTimeout(pass, record);
  } else if (record.phase === "failed") {
    pass.changePhase(record, "returning", "failure");
  } else {
    pass.changePhase(record, "serving", "none");
  }
}

/** Asks the platform agent to accept work on a VM again. */
export function resume(pass: Pass, record: VmRecord): void {
  pass.callAgent({
    kind: "resume",
    vm: record.name,
    operation: `resume/${record.revision}/${record.name}`,
  });
}

/** How long a VM must have answered before it serves again, in milliseconds. */
export function requiredStableMs(pass: Pass, record: VmRecord): number {
  const count = pass.state.rollout.failures[record.name]?.count ?? 0;
  return Math.min(BASE_STABLE_MS * 2 ** Math.max(0, count - 1), MAX_STABLE_MS);
}

function reportUnstable(
  pass: Pass,
  record: VmRecord,
  requiredMs: number,
): void {
  const condition = pass.condition(record.name);
  const liveMs = condition?.live === true ? pass.now - condition.since : 0;
  pass.reportHold({
    rule: "stability",
    vm: record.name,
    figure: liveMs,
    limit: requiredMs,
    message:
      `VM "${record.name}" has answered for ${liveMs} ms and serves again after ${requiredMs} ms`,
  });
}

function failAfterTimeout(pass: Pass, record: VmRecord): void {
  const waitedMs = pass.now - record.since;
  if (record.phase === "returning" && waitedMs >= pass.rules.rebootTimeoutMs) {
    pass.changePhase(record, "failed", "failure");
  }
}
