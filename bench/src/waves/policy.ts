/**
 * The policies that are compared: the product's decision, and baselines that drain and reboot just as gracefully
 * but choose their VMs without looking at capacity.
 *
 * @module
 */
import {
  decideMaintenance,
  type Decision,
  type Observation,
  type State,
  vmLocations,
  type VmPhase,
  type VmRecord,
} from "@quetzalcove/core";

/** Decides what to propose and what to ask of agents. */
export type Policy = (
  state: State,
  observation: Observation,
  now: number,
) => Decision;

const FAILURE_MS = 10_000;
const STABLE_MS = 5_000;

/** The product's decision. */
export function waves(
  state: State,
  observation: Observation,
  now: number,
): Decision {
  return decideMaintenance(state, observation, { now });
}

/** One VM after the other, each after the bake time of the one before. */
export function oneAtATime(
  state: State,
  observation: Observation,
  now: number,
): Decision {
  return baseline(state, {
    observation,
    now,
    choose: (due) => due.slice(0, 1),
  });
}

/** A third of the fleet, one zone after the other, each after the bake time of the one before. */
export function thirdByZone(
  state: State,
  observation: Observation,
  now: number,
): Decision {
  const choose = (due: VmRecord[]): VmRecord[] => {
    const places = vmLocations(state);
    const zone = state.inventory.zones.map((z) => z.name).find((name) =>
      due.some((record) => places.get(record.name)?.zone === name)
    );
    return due.filter((record) => places.get(record.name)?.zone === zone)
      .slice(0, Math.ceil(state.inventory.vms.length / 3));
  };
  return baseline(state, { observation, now, choose });
}

/** Every VM as soon as it serves. */
export function noRule(
  state: State,
  observation: Observation,
  now: number,
): Decision {
  return baseline(state, {
    observation,
    now,
    choose: (due) => due,
    free: true,
  });
}

interface Choice {
  observation: Observation;
  now: number;
  choose: (due: VmRecord[]) => VmRecord[];
  /** Whether VMs stop without waiting for those that are out. */
  free?: boolean;
}

function baseline(state: State, choice: Choice): Decision {
  const decision: Decision = { commands: [], actions: [], holds: [] };
  if (state.rollout.round === 0) {
    decision.commands.push({
      kind: "round.open",
      round: 1,
      requested: 0,
      at: choice.now,
    });
    return decision;
  }
  const records = Object.values(state.vms);
  records.forEach((record) => advance(decision, record, { state, choice }));
  const out = records.filter((record) =>
    record.phase !== "serving" && record.phase !== "failed"
  );
  if (choice.free === true || out.length === 0 && baked(state, choice.now)) {
    start(decision, { state, choice });
  }
  return decision;
}

function baked(state: State, now: number): boolean {
  const back = Object.values(state.vms).filter((r) => isDone(state, r))
    .map((r) => r.since);
  return now - Math.max(0, ...back) >= state.rules.maintenance.bakeMs;
}

function isDone(state: State, record: VmRecord): boolean {
  return record.maintainedAt >= state.rollout.startedAt;
}

function start(
  decision: Decision,
  { state, choice }: { state: State; choice: Choice },
): void {
  const due = Object.values(state.vms).filter((record) =>
    record.phase === "serving" && !isDone(state, record) &&
    choice.observation.conditions.get(record.name)?.live === true
  );
  for (const record of choice.choose(due)) {
    change(decision, record, { to: "draining", now: choice.now });
  }
}

function advance(
  decision: Decision,
  record: VmRecord,
  { state, choice }: { state: State; choice: Choice },
): void {
  const { observation, now } = choice;
  const condition = observation.conditions.get(record.name);
  const operation = `reboot/${state.rollout.round}/${record.name}`;
  const liveMs = condition?.live === true ? now - condition.since : 0;
  const silentMs = condition?.live === true
    ? 0
    : now - (condition?.since ?? now);
  switch (record.phase) {
    case "serving":
      if (silentMs >= FAILURE_MS) {
        change(decision, record, { to: "failed", now });
      }
      return;
    case "draining":
      if (
        observation.revisionInForce >= record.revision &&
        condition?.inFlight === 0
      ) {
        change(decision, record, { to: "drained", now });
      }
      return;
    case "drained":
      return change(decision, record, { to: "rebooting", now });
    case "rebooting":
      if (observation.operations.get(operation) === "done") {
        return change(decision, record, { to: "returning", now });
      }
      decision.actions.push({ kind: "reboot", vm: record.name, operation });
      return;
    case "returning":
    case "failed":
      if (liveMs >= STABLE_MS) {
        const to = record.phase === "failed" ? "returning" : "serving";
        change(decision, record, { to, now });
      }
  }
}

function change(
  decision: Decision,
  record: VmRecord,
  { to, now }: { to: VmPhase; now: number },
): void {
  const reason = to === "failed" || record.phase === "failed"
    ? "failure"
    : "wave";
  decision.commands.push({
    kind: "vm.phase",
    vm: record.name,
    from: record.phase,
    to,
    reason,
    at: now,
  });
}
