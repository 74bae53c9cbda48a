/**
 * One trial: a sharing strategy under one load, with at most one fault.
 *
 * @module
 */
import type { Measures } from "./measures.ts";
import type { SlotSharing, Strategy } from "./strategy.ts";
import { routes, Simulation, type SimulationOptions } from "./simulation.ts";

/** Fault injected during a trial. */
export type Fault =
  | "none"
  | "entry lost"
  | "target lost"
  | "target slow"
  | "target failing";

/** Options of a trial. */
export interface TrialSetup
  extends Omit<SimulationOptions, "overflow" | "entries"> {
  fault?: Fault;
  faultAtMs?: number;
  /** Schedules further events of the trial. */
  script?: (simulation: Simulation, sharing: SlotSharing) => void;
}

/** Results of a trial. */
export interface Trial {
  strategy: string;
  setup: TrialSetup;
  measures: Measures;
  /** Highest number of requests in progress at one target. */
  maxInProgress: number;
  /** Requests that a target accepted beyond its slots. */
  beyondSlots: number;
  /** Share of the sends that were retries. */
  retryShare: number;
  messagesPerSecond: number;
}

/** Time until the load balancer stops sending to a lost entry. */
const BALANCER_DETECTION_MS = 1_000;

/** Time until the announcement of a lost target expires. */
const ANNOUNCEMENT_EXPIRY_MS = 3_000;

/** Index in the route table of the target that faults affect. */
const FAULTY_TARGET = 13;

/** Index of the entry that faults affect. */
export const FAULTY_ENTRY = 3;

/** Runs a trial. */
export function runTrial(strategy: Strategy, setup: TrialSetup): Trial {
  const { overflow, entries } = strategy;
  const simulation = new Simulation({ ...setup, overflow, entries });
  const sharing = strategy.start(simulation);
  simulation.startLoad(sharing.arrive);
  const { fault, faultAtMs } = setup;
  if (fault !== undefined && faultAtMs !== undefined) {
    simulation.events.at(
      faultAtMs,
      () => injectFault(fault, simulation, sharing),
    );
  }
  setup.script?.(simulation, sharing);
  simulation.run();
  const targets = [...simulation.targets.values()];
  const { sends, retries } = simulation.measures;
  return {
    strategy: strategy.name,
    setup,
    measures: simulation.measures,
    maxInProgress: Math.max(...targets.map((target) => target.maxInProgress)),
    beyondSlots: targets.reduce((sum, target) => sum + target.beyondSlots, 0),
    retryShare: retries / Math.max(1, sends),
    messagesPerSecond: sharing.messages() * 1_000 / simulation.end,
  };
}

function injectFault(
  fault: Fault,
  simulation: Simulation,
  sharing: SlotSharing,
): void {
  const table = routes();
  const faultyTarget = table[FAULTY_TARGET]?.target ?? "";
  const target = simulation.targets.get(faultyTarget);
  if (target === undefined) {
    return;
  }
  switch (fault) {
    case "entry lost":
      loseEntry(simulation, sharing);
      return;
    case "target lost":
      target.lose();
      simulation.events.after(ANNOUNCEMENT_EXPIRY_MS, () => {
        sharing.setTargets(table.filter((r) => r.target !== faultyTarget));
      });
      return;
    case "target slow":
      target.condition = "slow";
      return;
    case "target failing":
      target.condition = "failing";
      return;
    default:
  }
}

/** Loses an entry; the load balancer detects it later. */
export function loseEntry(simulation: Simulation, sharing: SlotSharing): void {
  simulation.lostEntries.add(FAULTY_ENTRY);
  sharing.loseEntry(FAULTY_ENTRY);
  removeFromBalancer(simulation);
}

/** Removes the faulty entry from the load balancer once its health check has failed. */
export function removeFromBalancer(simulation: Simulation): void {
  simulation.events.after(BALANCER_DETECTION_MS, () => {
    simulation.balancedEntries.splice(
      simulation.balancedEntries.indexOf(FAULTY_ENTRY),
      1,
    );
  });
}
