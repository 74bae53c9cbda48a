/**
 * The leader's decisions on budgets, planned stops and maintenance waves. They are a pure function of the replicated
 * state and the observation, so that a new leader continues where the previous one stopped.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { State } from "../state.ts";
import type { Reading } from "./budget.ts";
import { markFailures, recover } from "./health.ts";
import {
  type Hold,
  type MaintenanceDecision,
  type Observation,
} from "./observation.ts";
import { Pass } from "./pass.ts";
import { planWave } from "./plan.ts";
import { advanceDrained, drain, reboot, resumePlatform } from "./stop.ts";
import { pendingReboot } from "./rollout.ts";
import { startRequestedStops } from "./requested_stop.ts";
import { evaluateWave, waveAbort } from "./wave.ts";

/** Interval between two replicated budget reports. */
export const ACCOUNT_INTERVAL_MS = 60_000;

/**
 * Runs one decision pass at the wall-clock time `now`, in milliseconds. Returns the commands to propose, the calls to
 * platform agents and the holds.
 */
export function decideMaintenance(
  state: State,
  observation: Observation,
  { now }: { now: number },
): MaintenanceDecision {
  const pass = new Pass(state, observation, now);
  reportBudgets(pass);
  markFailures(pass);
  const abort = waveAbort(pass);
  for (const record of Object.values(state.vms)) {
    advance(pass, record, abort);
  }
  startRequestedStops(pass);
  if (state.rollout.wave === null) {
    planWave(pass);
  } else {
    evaluateWave(pass, state.rollout.wave);
  }
  return pass.decision;
}

function advance(
  pass: Pass,
  record: VmRecord,
  currentAbort: Hold | undefined,
): void {
  const operation = pendingReboot(pass.state.rollout, record);
  if (operation !== undefined) {
    return reboot(pass, record, operation);
  }
  const abort = record.reason === "wave" ? currentAbort : undefined;
  switch (record.phase) {
    case "serving":
      return resumePlatform(pass, record);
    case "draining":
      return drain(pass, record, abort);
    case "drained":
      return advanceDrained(pass, record, abort);
    case "returning":
    case "failed":
      return recover(pass, record);
  }
}

function reportBudgets(pass: Pass): void {
  const { accounts, rules } = pass.state;
  if (Math.abs(pass.now - accounts.at) < ACCOUNT_INTERVAL_MS) {
    return;
  }
  const readings = pass.observation.readings.filter((reading) =>
    hasChanged(pass.state, reading)
  );
  const peaks = rules.services.flatMap(({ name }) => {
    const demand = pass.observation.demands.get(name);
    return demand === undefined ? [] : [{ service: name, slots: demand.slots }];
  });
  if (readings.length > 0 || peaks.length > 0) {
    pass.propose({ kind: "budget.account", readings, peaks, at: pass.now });
  }
}

function hasChanged(state: State, reading: Reading): boolean {
  const known = state.accounts.services[reading.service]
    ?.readings[reading.entry];
  return known?.incarnation !== reading.incarnation ||
    known.needed !== reading.needed || known.unserved !== reading.unserved;
}
