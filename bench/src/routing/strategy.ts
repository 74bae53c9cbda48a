/**
 * Ways of sharing the slots of targets among entries, behind one interface.
 *
 * @module
 */
import type { Route } from "@quetzalcove/core";
import type { SimulatedRequest } from "./measures.ts";
import type { Excess } from "./target.ts";
import type { World } from "./world.ts";

/** One way of sharing slots, in one world. */
export interface Sharing {
  arrive: (request: SimulatedRequest, entry: number) => void;
  loseEntry: (entry: number) => void;
  /** Cuts an entry off from the leader, but not from callers and targets. */
  cutOff?: (entry: number) => void;
  /** Announces a new table of targets to the entries. */
  setTargets: (table: readonly Route[]) => void;
  /** Messages sent between entries, or entries and leader. */
  messages: () => number;
}

/** A named way of sharing slots. */
export interface Strategy {
  name: string;
  /** What the targets do beyond their slots under this way. */
  excess: Excess;
  /** Entries, when it is not the usual number. */
  entries?: number;
  start: (world: World) => Sharing;
}

/** How long after a change of targets an entry sees it at the latest. */
export const VIEW_DELAY_MS = 1_000;

/** How long after a loss its slots or targets are given to others: lease, drift margin and time for runs to end. */
export const REGRANT_MS = 4_300;
