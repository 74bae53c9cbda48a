/**
 * Takes one VM through a planned stop: no new work, the view in force everywhere, no work in progress, then the
 * reboot, the move or the removal. A stop that cannot be graceful in time is put off.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import { answers, resume } from "./health.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";

/** Takes the next step for a VM that is draining. */
export function drain(pass: Pass, record: VmRecord, putOff?: Hold): void {
  const obstacle = putOff ?? obsolete(pass, record) ?? shortage(pass, record);
  if (obstacle !== undefined) {
    pass.hold({ ...obstacle, vm: record.name });
    putBack(pass, record);
    return;
  }
  if (pass.listed.get(record.name)?.agent !== undefined) {
    pass.act({
      kind: "drain",
      vm: record.name,
      operation: drainOperation(record),
    });
  }
  const busy = workLeft(pass, record);
  if (busy === undefined) {
    pass.changePhase(record, "drained", record.reason);
    return;
  }
  pass.hold(busy);
  const late = pass.now - record.since >= pass.rules.drainTimeoutMs;
  if (late && record.reason !== "operator") {
    putBack(pass, record);
  }
}

function drainOperation(record: VmRecord): string {
  return `drain/${record.revision}/${record.name}`;
}

/** Why a drained VM would cut off work if it stopped now, or undefined when it would not. */
function workLeft(pass: Pass, record: VmRecord): Hold | undefined {
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
    return silent(vm);
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
  if (!drained && pass.listed.get(vm)?.agent !== undefined) {
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

/** Puts a VM back into service, at once if its targets answer and the platform has not drained it yet. */
function putBack(pass: Pass, record: VmRecord): void {
  const condition = pass.condition(record.name);
  const ready = condition?.live === true && !condition.platformDrained;
  pass.changePhase(record, ready ? "serving" : "returning", "none");
}

function silent(vm: string): Hold {
  return {
    rule: "not_serving",
    vm,
    message: `VM "${vm}" does not answer; it may have failed`,
  };
}

/** A stop that nobody wants any more. */
function obsolete(pass: Pass, record: VmRecord): Hold | undefined {
  const listed = pass.listed.get(record.name);
  const wanted = pass.state.rollout.wanted[record.name] !== undefined;
  const needed = {
    operator: wanted,
    move: listed !== undefined && listed.pool !== record.pool,
    removal: listed === undefined,
  };
  const reason = record.reason;
  if (reason !== "operator" && reason !== "move" && reason !== "removal") {
    return undefined;
  }
  return needed[reason] ? undefined : {
    rule: "postponed",
    message: `The ${reason} of VM "${record.name}" was withdrawn`,
  };
}

function shortage(pass: Pass, record: VmRecord): Hold | undefined {
  return record.reason === "operator"
    ? undefined
    : pass.capacity.shortfall(record.pool);
}

/** Takes the next step for a VM that is drained. */
export function afterDrain(pass: Pass, record: VmRecord, putOff?: Hold): void {
  const listed = pass.listed.get(record.name);
  if (listed === undefined) {
    pass.propose({ kind: "vm.remove", vm: record.name, at: pass.now });
  } else if (listed.pool !== record.pool) {
    pass.propose({
      kind: "vm.move",
      vm: record.name,
      from: record.pool,
      to: listed.pool,
      at: pass.now,
    });
  } else if (record.reason === "wave") {
    startReboot(pass, record, putOff);
  } else if (pass.state.rollout.wanted[record.name] === undefined) {
    putBack(pass, record);
  }
}

function startReboot(pass: Pass, record: VmRecord, putOff?: Hold): void {
  const obstacle = putOff ?? shortage(pass, record);
  if (obstacle !== undefined) {
    pass.hold({ ...obstacle, vm: record.name });
    putBack(pass, record);
  } else if (answers(pass, record)) {
    pass.changePhase(record, "rebooting", "wave");
  } else {
    pass.hold(silent(record.name));
  }
}

/** Asks for the reboot of a VM until its agent confirms or refuses it. */
export function reboot(pass: Pass, record: VmRecord, operation: string): void {
  const status = pass.observation.operations.get(operation);
  if (status === "done") {
    pass.changePhase(record, "returning", "wave");
  } else if (status === "failed") {
    refused(pass, record, operation);
  } else {
    pass.act({ kind: "reboot", vm: record.name, operation });
    awaitReboot(pass, record);
  }
}

function refused(pass: Pass, record: VmRecord, operation: string): void {
  pass.propose({
    kind: "reboot.refused",
    vm: record.name,
    operation,
    at: pass.now,
  });
}

function awaitReboot(pass: Pass, record: VmRecord): void {
  const waited = pass.now - record.since;
  const limit = pass.rules.rebootTimeoutMs;
  if (record.phase === "rebooting" && waited >= limit) {
    pass.changePhase(record, "failed", "failure");
    return;
  }
  pass.hold({
    rule: "reboot",
    vm: record.name,
    figure: waited,
    limit,
    message: record.phase === "rebooting"
      ? `VM "${record.name}" has been rebooting for ${waited} ms`
      : `VM "${record.name}" stays out until its agent answers for the reboot that it was asked for`,
  });
}

/** Lets a VM that was put back into service run work on its platform again. */
export function undrain(pass: Pass, record: VmRecord): void {
  if (pass.condition(record.name)?.platformDrained === true) {
    resume(pass, record);
  }
}
