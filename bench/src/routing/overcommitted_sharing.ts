/**
 * Sharing without agreement: each entry limits itself to an over-committed share of every target, lowers it when the
 * target refuses and raises it while it does not (additive increase, multiplicative decrease).
 *
 * @module
 */
import type { Completion } from "@quetzalcove/core";
import {
  entriesOf,
  type FleetSetup,
  type SimulatedEntry,
} from "./router_fleet.ts";
import { type Sharing, VIEW_DELAY_MS } from "./strategy.ts";
import { routes, SLOTS, type World } from "./world.ts";

/** How much more than its part an entry may use at first. */
const OVERCOMMIT = 2;
const DECREASE = 0.7;

/** Starts a world whose entries guess their share. */
export function overcommitted(world: World, setup: FleetSetup): Sharing {
  const entries = entriesOf(world, setup);
  const shares = entries.map((entry) => new Share(entry, world));
  shares.forEach((share) => share.start());
  return {
    arrive: (request, index) => {
      entries[index]?.submit(request, (ending) => {
        world.answer(request, ending);
      });
    },
    loseEntry: (index) => entries[index]?.lose(),
    setTargets: (table) => {
      for (const entry of entries) {
        const delayMs = world.random.between(0, VIEW_DELAY_MS);
        world.events.after(delayMs, () => entry.setTargets(table));
      }
    },
    messages: () => 0,
  };
}

/** The share that one entry takes of each target. */
class Share {
  readonly #entry: SimulatedEntry;
  readonly #world: World;
  readonly #limits = new Map<string, number>();
  #sequence = 1;

  constructor(entry: SimulatedEntry, world: World) {
    this.#entry = entry;
    this.#world = world;
  }

  start(): void {
    const initial = OVERCOMMIT * SLOTS / this.#world.entries;
    const slots: Record<string, number> = {};
    for (const { target } of routes()) {
      this.#limits.set(target, initial);
      slots[target] = Math.floor(initial);
    }
    this.#entry.onCompletion = (target, completion) => {
      this.#adjust(target, completion);
    };
    this.#allow(slots, 0);
  }

  #adjust(target: string, completion: Completion): void {
    const limit = this.#limits.get(target) ?? 1;
    const next = completion === "refused"
      ? Math.max(1, limit * DECREASE)
      : Math.min(SLOTS, limit + 1 / (SLOTS * limit));
    this.#limits.set(target, next);
    if (Math.floor(next) !== Math.floor(limit)) {
      this.#allow({ [target]: Math.floor(next) }, this.#sequence);
    }
  }

  #allow(slots: Record<string, number>, base: number): void {
    this.#sequence += 1;
    this.#entry.act(this.#entry.router.setAllowance({
      epoch: 1,
      sequence: this.#sequence,
      base,
      slots,
      until: Number.MAX_SAFE_INTEGER,
    }, this.#world.now));
  }
}
