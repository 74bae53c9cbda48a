/**
 * The leader's decision on budgets, planned stops and maintenance waves. It is a pure function of the replicated
 * state and of what is observed, so that a new leader goes on where the last one stopped.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { State } from "../state.ts";
import type { Reading } from "./budget.ts";
import { findFailures, recover } from "./health.ts";
import { type Decision, type Hold, type Observation } from "./observation.ts";
import { Pass } from "./pass.ts";
import { planWave } from "./plan.ts";
import { afterDrain, drain, reboot, undrain } from "./stop.ts";
import { awaitedReboot } from "./rollout.ts";
import { startTransfers } from "./transfer.ts";
import { judgeWave, waveObstacle } from "./wave.ts";

/** How often the accounts of the budgets are replicated. */
export const ACCOUNT_MS = 60_000;

/** Decides what to propose and what to ask of the platform agents at the wall-clock time `now`. */
export function decideMaintenance(
  state: State,
  observation: Observation,
  { now }: { now: number },
): Decision {
  const pass = new Pass(state, observation, now);
  account(pass);
  findFailures(pass);
  const obstacle = waveObstacle(pass);
  for (const record of Object.values(state.vms)) {
    progress(pass, record, obstacle);
  }
  startTransfers(pass);
  if (state.rollout.wave === null) {
    planWave(pass);
  } else {
    judgeWave(pass, state.rollout.wave);
  }
  return pass.decision;
}

function progress(
  pass: Pass,
  record: VmRecord,
  waveObstacle: Hold | undefined,
): void {
  const operation = awaitedReboot(pass.state.rollout, record);
  if (operation !== undefined) {
    return reboot(pass, record, operation);
  }
  const putOff = record.reason === "wave" ? waveObstacle : undefined;
  switch (record.phase) {
    case "serving":
      return undrain(pass, record);
    case "draining":
      return drain(pass, record, putOff);
    case "drained":
      return afterDrain(pass, record, putOff);
    case "returning":
    case "failed":
      return recover(pass, record);
  }
}

function account(pass: Pass): void {
  const { accounts, rules } = pass.state;
  if (Math.abs(pass.now - accounts.at) < ACCOUNT_MS) {
    return;
  }
  const readings = pass.observation.readings.filter((reading) =>
    isNews(pass.state, reading)
  );
  const peaks = rules.services.flatMap(({ name }) => {
    const need = pass.observation.needs.get(name);
    return need === undefined ? [] : [{ service: name, slots: need.slots }];
  });
  if (readings.length > 0 || peaks.length > 0) {
    pass.propose({ kind: "budget.account", readings, peaks, at: pass.now });
  }
}

function isNews(state: State, reading: Reading): boolean {
  const known = state.accounts.services[reading.service]
    ?.readings[reading.entry];
  return known?.incarnation !== reading.incarnation ||
    known.needed !== reading.needed || known.unserved !== reading.unserved;
}
