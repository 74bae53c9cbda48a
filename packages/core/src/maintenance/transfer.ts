/**
 * Starts the stops that operators ask for: their own drains, moves to another pool, and removals. They pass the same
 * checks as waves and come before them.
 *
 * @module
 */
import type { VmReason, VmRecord } from "../fleet.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";

/** The longest time for which a stop that was put off is not tried again. */
const MAX_POSTPONE_MS = 21_600_000;

/** Starts every requested stop that is safe now. */
export function startTransfers(pass: Pass): void {
  for (const record of Object.values(pass.state.vms)) {
    const reason = requestedStop(pass, record);
    if (reason !== undefined) {
      startTransfer(pass, record, reason);
    }
  }
}

/** The stop that operators want for this VM, or undefined. */
export function requestedStop(
  pass: Pass,
  record: VmRecord,
): VmReason | undefined {
  const listed = pass.listed.get(record.name);
  if (listed === undefined) {
    return "removal";
  }
  if (listed.pool !== record.pool) {
    return "move";
  }
  const wanted = pass.state.rollout.wanted[record.name] !== undefined;
  return wanted ? "operator" : undefined;
}

function startTransfer(pass: Pass, record: VmRecord, reason: VmReason): void {
  if (record.phase === "failed" && reason === "removal") {
    pass.propose({ kind: "vm.remove", vm: record.name, at: pass.now });
    return;
  }
  if (record.phase !== "serving") {
    return;
  }
  const hold = postponement(pass, record) ?? pass.capacity.refusal(record);
  if (hold !== undefined) {
    pass.hold(hold);
    return;
  }
  pass.capacity.take(record);
  pass.changePhase(record, "draining", reason);
}

/** The hold on a VM whose last stop was put off a short while ago. */
export function postponement(pass: Pass, record: VmRecord): Hold | undefined {
  const tally = pass.state.rollout.postponed[record.name];
  if (tally === undefined) {
    return undefined;
  }
  const waitMs = Math.min(
    tally.count * pass.rules.drainTimeoutMs,
    MAX_POSTPONE_MS,
  );
  const until = tally.at + waitMs;
  return pass.now >= until ? undefined : {
    rule: "postponed",
    vm: record.name,
    figure: pass.now,
    limit: until,
    message:
      `The stop of VM "${record.name}" was put off ${tally.count} times; it is tried again in ${
        until - pass.now
      } ms`,
  };
}
