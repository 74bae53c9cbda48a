/**
 * The compared policies: the product's decision, and baselines that drain and reboot just as gracefully but choose
 * VMs without regard to capacity.
 *
 * @module
 */
import {
  decideMaintenance,
  type MaintenanceDecision,
  type Observation,
  type State,
  vmLocations,
  type VmPhase,
  type VmRecord,
} from "@quetzalcove/core";

/** Decides which commands to propose and which actions to request from agents. */
export type Policy = (
  state: State,
  observation: Observation,
  now: number,
) => MaintenanceDecision;

const FAILURE_TIMEOUT_MS = 10_000;
const STABILITY_MS = 5_000;

/** The product's decision. */
export function productPolicy(
  state: State,
  observation: Observation,
  now: number,
): MaintenanceDecision {
  return decideMaintenance(state, observation, { now });
}

/** One VM at a time, each after the bake time of the previous one. */
export function oneAtATime(
  state: State,
  observation: Observation,
  now: number,
): MaintenanceDecision {
  return baseline(state, {
    observation,
    now,
    choose: (due) => due.slice(0, 1),
  });
}

/** Up to a third of the fleet at a time, zone by zone, each batch after the bake time of the previous one. */
export function thirdByZone(
  state: State,
  observation: Observation,
  now: number,
): MaintenanceDecision {
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

/** Every VM that is serving, without waiting for any other. */
export function allAtOnce(
  state: State,
  observation: Observation,
  now: number,
): MaintenanceDecision {
  return baseline(state, {
    observation,
    now,
    choose: (due) => due,
    ignoresUnavailable: true,
  });
}

interface BaselineOptions {
  observation: Observation;
  now: number;
  choose: (due: VmRecord[]) => VmRecord[];
  /** Whether VMs are drained without waiting for the unavailable ones and the bake time. */
  ignoresUnavailable?: boolean;
}

function baseline(state: State, options: BaselineOptions): MaintenanceDecision {
  const decision: MaintenanceDecision = {
    commands: [],
    actions: [],
    holds: [],
  };
  if (state.rollout.round === 0) {
    decision.commands.push({
      kind: "round.open",
      round: 1,
      requested: 0,
      at: options.now,
    });
    return decision;
  }
  const records = Object.values(state.vms);
  records.forEach((record) => advanceVm(decision, record, { state, options }));
  const unavailable = records.filter((record) =>
    record.phase !== "serving" && record.phase !== "failed"
  );
  if (
    options.ignoresUnavailable === true ||
    unavailable.length === 0 && isBakeTimeOver(state, options.now)
  ) {
    startDrains(decision, { state, options });
  }
  return decision;
}

function isBakeTimeOver(state: State, now: number): boolean {
  const returnedAt = Object.values(state.vms).filter((r) =>
    isMaintained(state, r)
  )
    .map((r) => r.since);
  return now - Math.max(0, ...returnedAt) >= state.rules.maintenance.bakeMs;
}

function isMaintained(state: State, record: VmRecord): boolean {
  return record.maintainedAt >= state.rollout.startedAt;
}

function startDrains(
  decision: MaintenanceDecision,
  { state, options }: { state: State; options: BaselineOptions },
): void {
  const due = Object.values(state.vms).filter((record) =>
    record.phase === "serving" && !isMaintained(state, record) &&
    options.observation.conditions.get(record.name)?.live === true
  );
  for (const record of options.choose(due)) {
    proposePhase(decision, record, { to: "draining", now: options.now });
  }
}

function advanceVm(
  decision: MaintenanceDecision,
  record: VmRecord,
  { state, options }: { state: State; options: BaselineOptions },
): void {
  const { observation, now } = options;
  const condition = observation.conditions.get(record.name);
  const operation = `reboot/${state.rollout.round}/${record.name}`;
  const reachableMs = condition?.live === true ? now - condition.since : 0;
  const silentMs = condition?.live === true
    ? 0
    : now - (condition?.since ?? now);
  switch (record.phase) {
    case "serving":
      if (silentMs >= FAILURE_TIMEOUT_MS) {
        proposePhase(decision, record, { to: "failed", now });
      }
      return;
    case "draining":
      if (
        observation.revisionInForce >= record.revision &&
        condition?.inFlight === 0
      ) {
        proposePhase(decision, record, { to: "drained", now });
      }
      return;
    case "drained":
      return proposePhase(decision, record, { to: "rebooting", now });
    case "rebooting":
      if (observation.operations.get(operation) === "done") {
        return proposePhase(decision, record, { to: "returning", now });
      }
      decision.actions.push({ kind: "reboot", vm: record.name, operation });
      return;
    case "returning":
    case "failed":
      if (reachableMs >= STABILITY_MS) {
        const to = record.phase === "failed" ? "returning" : "serving";
        proposePhase(decision, record, { to, now });
      }
  }
}

function proposePhase(
  decision: MaintenanceDecision,
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
