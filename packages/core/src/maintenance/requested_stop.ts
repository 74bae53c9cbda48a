/**
 * Starts the stops that operators request: drains, moves to another pool and removals. They are subject to the same
 * checks as waves and take precedence over them.
 *
 * @module
 */
import type { VmReason, VmRecord } from "../fleet.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";

/** Longest delay before a postponed stop is retried. */
const MAX_POSTPONE_MS = 21_600_000;

/** Starts every requested stop that is safe now. */
export function startRequestedStops(pass: Pass): void {
  for (const record of Object.values(pass.state.vms)) {
    const reason = requestedStop(pass, record);
    if (reason !== undefined) {
      startRequestedStop(pass, record, reason);
    }
  }
}

/** The reason of the stop that operators request for this VM; undefined when there is none. */
export function requestedStop(
  pass: Pass,
  record: VmRecord,
): VmReason | undefined {
  const inventoryVm = pass.inventoryVms.get(record.name);
  if (inventoryVm === undefined) {
    return "removal";
  }
  if (inventoryVm.pool !== record.pool) {
    return "move";
  }
  const isWanted = pass.state.rollout.wanted[record.name] !== undefined;
  return isWanted ? "operator" : undefined;
}

function startRequestedStop(
  pass: Pass,
  record: VmRecord,
  reason: VmReason,
): void {
  if (record.phase === "failed" && reason === "removal") {
    pass.propose({ kind: "vm.remove", vm: record.name, at: pass.now });
    return;
  }
  if (record.phase !== "serving") {
    return;
  }
  const hold = postponedHold(pass, record) ?? pass.capacity.holdFor(record);
  if (hold !== undefined) {
    pass.reportHold(hold);
    return;
  }
  pass.capacity.remove(record);
  pass.changePhase(record, "draining", reason);
}

/** The hold on a VM whose last stop was postponed too recently to retry it. */
export function postponedHold(pass: Pass, record: VmRecord): Hold | undefined {
  const postponements = pass.state.rollout.postponed[record.name];
  if (postponements === undefined) {
    return undefined;
  }
  const waitMs = Math.min(
    postponements.count * pass.rules.drainTimeoutMs,
    MAX_POSTPONE_MS,
  );
  const until = postponements.at + waitMs;
  return pass.now >= until ? undefined : {
    rule: "postponed",
    vm: record.name,
    figure: pass.now,
    limit: until,
    message:
      `The stop of VM "${record.name}" was put off ${postponements.count} times; it is tried again in ${
        until - pass.now
      } ms`,
  };
}
