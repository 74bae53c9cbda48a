/**
 * Takes one VM through a planned stop: no new work, a view without the VM in force everywhere, no work in progress,
 * then the reboot, the move or the removal. A stop that cannot complete gracefully in time is postponed.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import { answers, resume } from "./health.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";

/** Takes the next step for a VM that is draining. `abort` is the reason to cancel the stop of a wave member. */
export function drain(pass: Pass, record: VmRecord, abort?: Hold): void {
  const cancellation = abort ?? withdrawnHold(pass, record) ??
    shortfallHold(pass, record);
  if (cancellation !== undefined) {
    pass.reportHold({ ...cancellation, vm: record.name });
    returnToService(pass, record);
    return;
  }
  if (pass.inventoryVms.get(record.name)?.agent !== undefined) {
    pass.callAgent({
      kind: "drain",
      vm: record.name,
      operation: drainOperation(record),
    });
  }
  const hold = remainingWorkHold(pass, record);
  if (hold === undefined) {
    pass.changePhase(record, "drained", record.reason);
    return;
  }
  pass.reportHold(hold);
  const isLate = pass.now - record.since >= pass.rules.drainTimeoutMs;
  if (isLate && record.reason !== "operator") {
    returnToService(pass, record);
  }
}

function drainOperation(record: VmRecord): string {
  return `drain/${record.revision}/${record.name}`;
}

/** The hold on a VM that might interrupt work if it stopped now; undefined when it would not. */
function remainingWorkHold(pass: Pass, record: VmRecord): Hold | undefined {
  const vm = record.name;
  const { revisionInForce, operations } = pass.observation;
  if (revisionInForce < record.revision) {
    return {
      rule: "view",
      vm,
      figure: revisionInForce,
      limit: record.revision,
      message:
        `VM "${vm}" may still get new work: revision ${record.revision} is not in force everywhere, ${revisionInForce} is`,
    };
  }
  const condition = pass.condition(vm);
  if (!answers(pass, record)) {
    return silentHold(vm);
  }
  if (condition?.inFlight === undefined) {
    return {
      rule: "in_flight",
      vm,
      message:
        `Not every entry has reported its requests in flight to VM "${vm}"`,
    };
  }
  const drained = operations.get(drainOperation(record)) === "done";
  if (!drained && pass.inventoryVms.get(vm)?.agent !== undefined) {
    return {
      rule: "agent",
      vm,
      message:
        `The platform agent of VM "${vm}" has not confirmed that its jobs are checkpointed`,
    };
  }
  const tasks = drained ? 0 : condition.tasks;
  const left = condition.inFlight + tasks;
  return left === 0 ? undefined : {
    rule: "in_flight",
    vm,
    figure: left,
    limit: 0,
    message:
      `VM "${vm}" has ${condition.inFlight} requests in flight and ${tasks} jobs that are not checkpointed`,
  };
}

/** Returns a VM to service; via `returning` unless its targets answer and the platform has not drained it. */
function returnToService(pass: Pass, record: VmRecord): void {
  const condition = pass.condition(record.name);
  const isReady = condition?.live === true && !condition.platformDrained;
  pass.changePhase(record, isReady ? "serving" : "returning", "none");
}

function silentHold(vm: string): Hold {
  return {
    rule: "not_serving",
    vm,
    message: `VM "${vm}" does not answer; it may have failed`,
  };
}

/** The hold on a requested stop that operators have withdrawn; undefined while it is requested. */
function withdrawnHold(pass: Pass, record: VmRecord): Hold | undefined {
  const inventoryVm = pass.inventoryVms.get(record.name);
  const isWanted = pass.state.rollout.wanted[record.name] !== undefined;
  const isRequested = {
    operator: isWanted,
    move: inventoryVm !== undefined && inventoryVm.pool !== record.pool,
    removal: inventoryVm === undefined,
  };
  const reason = record.reason;
  if (reason !== "operator" && reason !== "move" && reason !== "removal") {
    return undefined;
  }
  return isRequested[reason] ? undefined : {
    rule: "postponed",
    message: `The ${reason} of VM "${record.name}" was withdrawn`,
  };
}

function shortfallHold(pass: Pass, record: VmRecord): Hold | undefined {
  return record.reason === "operator"
    ? undefined
    : pass.capacity.shortfall(record.pool);
}

/** Takes the next step for a VM that is drained. `abort` is the reason to cancel the stop of a wave member. */
export function advanceDrained(
  pass: Pass,
  record: VmRecord,
  abort?: Hold,
): void {
  const inventoryVm = pass.inventoryVms.get(record.name);
  if (inventoryVm === undefined) {
    pass.propose({ kind: "vm.remove", vm: record.name, at: pass.now });
  } else if (inventoryVm.pool !== record.pool) {
    pass.propose({
      kind: "vm.move",
      vm: record.name,
      from: record.pool,
      to: inventoryVm.pool,
      at: pass.now,
    });
  } else if (record.reason === "wave") {
    startReboot(pass, record, abort);
  } else if (pass.state.rollout.wanted[record.name] === undefined) {
    returnToService(pass, record);
  }
}

function startReboot(pass: Pass, record: VmRecord, abort?: Hold): void {
  const cancellation = abort ?? shortfallHold(pass, record);
  if (cancellation !== undefined) {
    pass.reportHold({ ...cancellation, vm: record.name });
    returnToService(pass, record);
    return;
  }
  const unknown = pass.capacity.unknownHold(record.pool);
  if (unknown !== undefined) {
    pass.reportHold({ ...unknown, vm: record.name });
  } else if (answers(pass, record)) {
    pass.changePhase(record, "rebooting", "wave");
  } else {
    pass.reportHold(silentHold(record.name));
  }
}

/** Requests the reboot of a VM until its agent confirms or refuses it. */
export function reboot(pass: Pass, record: VmRecord, operation: string): void {
  const status = pass.observation.operations.get(operation);
  if (status === "done") {
    pass.changePhase(record, "returning", "wave");
  } else if (status === "failed") {
    proposeRefusal(pass, record, operation);
  } else {
    pass.callAgent({ kind: "reboot", vm: record.name, operation });
    awaitReboot(pass, record);
  }
}

function proposeRefusal(pass: Pass, record: VmRecord, operation: string): void {
  pass.propose({
    kind: "reboot.refused",
    vm: record.name,
    operation,
    at: pass.now,
  });
}

function awaitReboot(pass: Pass, record: VmRecord): void {
  const waitedMs = pass.now - record.since;
  const limit = pass.rules.rebootTimeoutMs;
  if (record.phase === "rebooting" && waitedMs >= limit) {
    pass.changePhase(record, "failed", "failure");
    return;
  }
  pass.reportHold({
    rule: "reboot",
    vm: record.name,
    figure: waitedMs,
    limit,
    message: record.phase === "rebooting"
      ? `VM "${record.name}" has been rebooting for ${waitedMs} ms`
      : `VM "${record.name}" stays out until its agent answers for the reboot that it was asked for`,
  });
}

/** Resumes the platform of a serving VM that is still drained, after its stop was cancelled. */
export function resumePlatform(pass: Pass, record: VmRecord): void {
  if (pass.condition(record.name)?.platformDrained === true) {
    resume(pass, record);
  }
}
