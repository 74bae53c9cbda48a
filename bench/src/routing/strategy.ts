/**
 * Interface of the strategies that share the slots of targets among entries.
 *
 * @module
 */
import type { Route } from "@quetzalcove/core";
import type { SimulatedRequest } from "./measures.ts";
import type { OverflowMode } from "./target.ts";
import type { Simulation } from "./simulation.ts";

/** A sharing strategy running in one simulation. */
export interface SlotSharing {
  arrive: (request: SimulatedRequest, entry: number) => void;
  loseEntry: (entry: number) => void;
  /** Cuts an entry off from the leader, but not from callers and targets. */
  cutOff?: (entry: number) => void;
  /** Announces a new route table to the entries. */
  setTargets: (table: readonly Route[]) => void;
  /** Number of messages sent between entries, or between entries and leader. */
  messages: () => number;
}

/** A named sharing strategy. */
export interface Strategy {
  name: string;
  /** What the targets do with requests beyond their slots. */
  overflow: OverflowMode;
  /** Number of entries; defaults to `ENTRIES`. */
  entries?: number;
  start: (simulation: Simulation) => SlotSharing;
}

/** Longest time until an entry sees a change of targets. */
export const MAX_VIEW_DELAY_MS = 1_000;

/** Time until a lost entry's slots or targets are reassigned: lease, drift margin and time for runs to end. */
export const REGRANT_DELAY_MS = 4_300;
