/**
 * Slot sharing without coordination: each entry limits itself to an over-committed share of every target, lowers it
 * when the target refuses and raises it otherwise (additive increase, multiplicative decrease).
 *
 * @module
 */
import type { Completion } from "@quetzalcove/core";
import {
  entriesOf,
  type FleetSetup,
  type SimulatedEntry,
} from "./router_fleet.ts";
import { MAX_VIEW_DELAY_MS, type SlotSharing } from "./strategy.ts";
import { routes, type Simulation, SLOTS } from "./simulation.ts";

/** Initial limit of an entry as a multiple of its equal share. */
const OVERCOMMIT_FACTOR = 2;
const DECREASE_FACTOR = 0.7;

/** Starts a simulation in which each entry adapts its own limits. */
export function overcommitted(
  simulation: Simulation,
  setup: FleetSetup,
): SlotSharing {
  const entries = entriesOf(simulation, setup);
  const limits = entries.map((entry) => new TargetLimits(entry, simulation));
  limits.forEach((limit) => limit.start());
  return {
    arrive: (request, index) => {
      entries[index]?.submit(request, (outcome) => {
        simulation.answer(request, outcome);
      });
    },
    loseEntry: (index) => entries[index]?.lose(),
    setTargets: (table) => {
      for (const entry of entries) {
        const delayMs = simulation.random.between(0, MAX_VIEW_DELAY_MS);
        simulation.events.after(delayMs, () => entry.setTargets(table));
      }
    },
    messages: () => 0,
  };
}

/** One entry's own limit for each target. */
class TargetLimits {
  readonly #entry: SimulatedEntry;
  readonly #simulation: Simulation;
  readonly #limits = new Map<string, number>();
  #sequence = 1;

  constructor(entry: SimulatedEntry, simulation: Simulation) {
    this.#entry = entry;
    this.#simulation = simulation;
  }

  start(): void {
    const initialLimit = OVERCOMMIT_FACTOR * SLOTS / this.#simulation.entries;
    const slots: Record<string, number> = {};
    for (const { target } of routes()) {
      this.#limits.set(target, initialLimit);
      slots[target] = Math.floor(initialLimit);
    }
    this.#entry.onCompletion = (target, completion) => {
      this.#adjust(target, completion);
    };
    this.#setAllowance(slots, 0);
  }

  #adjust(target: string, completion: Completion): void {
    const limit = this.#limits.get(target) ?? 1;
    const next = completion === "refused"
      ? Math.max(1, limit * DECREASE_FACTOR)
      : Math.min(SLOTS, limit + 1 / (SLOTS * limit));
    this.#limits.set(target, next);
    if (Math.floor(next) !== Math.floor(limit)) {
      this.#setAllowance({ [target]: Math.floor(next) }, this.#sequence);
    }
  }

  #setAllowance(slots: Record<string, number>, base: number): void {
    this.#sequence += 1;
    this.#entry.execute(this.#entry.router.setAllowance({
      epoch: 1,
      sequence: this.#sequence,
      base,
      slots,
      until: Number.MAX_SAFE_INTEGER,
    }, this.#simulation.now));
  }
}
