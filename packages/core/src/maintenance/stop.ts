/**
 * Takes one VM through a planned stop: no new work, the view in force everywhere, no work in progress, then the
 * reboot, the move or the removal. A stop that cannot be graceful in time is put off.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import { resume } from "./health.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";
import { rebootOperation } from "./rollout.ts";

/** Takes the next step for a VM that is draining. */
export function drain(pass: Pass, record: VmRecord, putOff?: Hold): void {
  const obstacle = putOff ?? obsolete(pass, record) ?? shortage(pass, record);
  if (obstacle !== undefined) {
    pass.hold({ ...obstacle, vm: record.name });
    pass.changePhase(record, "serving", "none");
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
    pass.changePhase(record, "serving", "none");
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
  if (condition?.live === false) {
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
    pass.changePhase(record, "serving", "none");
  }
}

function startReboot(pass: Pass, record: VmRecord, putOff?: Hold): void {
  const obstacle = putOff ?? shortage(pass, record);
  if (obstacle !== undefined) {
    pass.hold({ ...obstacle, vm: record.name });
    pass.changePhase(record, "serving", "none");
  } else if (pass.condition(record.name)?.live === true) {
    pass.changePhase(record, "rebooting", "wave");
  } else {
    pass.hold(silent(record.name));
  }
}

/** Asks for the reboot of a VM until its agent confirms it. */
export function reboot(pass: Pass, record: VmRecord): void {
  const operation = rebootOperation(pass.state.rollout, record.name);
  const status = pass.observation.operations.get(operation);
  if (status === "done") {
    pass.changePhase(record, "returning", record.reason);
    return;
  }
  if (status === "failed") {
    pass.propose({
      kind: "reboot.refused",
      vm: record.name,
      operation,
      at: pass.now,
    });
    pass.changePhase(record, "failed", "failure");
    return;
  }
  pass.act({ kind: "reboot", vm: record.name, operation });
  const waited = pass.now - record.since;
  if (waited >= pass.rules.rebootTimeoutMs) {
    pass.changePhase(record, "failed", "failure");
    return;
  }
  pass.hold({
    rule: "reboot",
    vm: record.name,
    figure: waited,
    limit: pass.rules.rebootTimeoutMs,
    message: `VM "${record.name}" has been rebooting for ${waited} ms`,
  });
}

/** Lets a VM that was put back into service run work on its platform again. */
export function undrain(pass: Pass, record: VmRecord): void {
  if (pass.condition(record.name)?.platformDrained === true) {
    resume(pass, record);
  }
}
