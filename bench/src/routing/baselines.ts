/**
 * Baselines without admission, queues or slot sharing: each entry forwards every request immediately.
 *
 * @module
 */
import type { Route } from "@quetzalcove/core";
import type { SimulatedRequest } from "./measures.ts";
import {
  MAX_VIEW_DELAY_MS,
  type SlotSharing,
  type Strategy,
} from "./strategy.ts";
import { routes, type Simulation } from "./simulation.ts";

/** Input of a baseline's target selection. */
interface SelectionInput {
  targets: readonly string[];
  /** Requests in flight from this entry, by target. */
  inFlight: ReadonlyMap<string, number>;
  /** Number of requests of the service that this entry has forwarded. */
  forwarded: number;
  random: () => number;
}

type TargetSelection = (input: SelectionInput) => string | undefined;

function pickRandom({ targets, random }: SelectionInput): string | undefined {
  return targets[Math.floor(random() * targets.length)];
}

function pickRoundRobin(
  { targets, forwarded }: SelectionInput,
): string | undefined {
  return targets[forwarded % targets.length];
}

function pickLeastLoaded(input: SelectionInput): string | undefined {
  let best: string | undefined;
  let leastLoad = Number.POSITIVE_INFINITY;
  for (const target of input.targets) {
    const load = (input.inFlight.get(target) ?? 0) + 0.5 * input.random();
    if (load < leastLoad) {
      best = target;
      leastLoad = load;
    }
  }
  return best;
}

function baseline(name: string, pick: TargetSelection): Strategy {
  return {
    name,
    overflow: "wait",
    start: (simulation) => startForwarding(simulation, pick),
  };
}

function startForwarding(
  simulation: Simulation,
  pick: TargetSelection,
): SlotSharing {
  const entries = Array.from({ length: simulation.entries }, () => ({
    table: servingTargets(routes()),
    inFlight: new Map<string, number>(),
    forwarded: new Map<string, number>(),
    open: new Set<SimulatedRequest>(),
  }));
  const arrive = (request: SimulatedRequest, index: number): void => {
    const entry = entries[index];
    const { service } = request;
    const forwarded = entry?.forwarded.get(service) ?? 0;
    const target = entry && pick({
      targets: entry.table.get(service) ?? [],
      inFlight: entry.inFlight,
      forwarded,
      random: simulation.random.uniform,
    });
    if (entry === undefined || target === undefined) {
      simulation.answer(request, "refused");
      return;
    }
    entry.forwarded.set(service, forwarded + 1);
    entry.inFlight.set(target, (entry.inFlight.get(target) ?? 0) + 1);
    entry.open.add(request);
    simulation.forward(target, request, (completion) => {
      entry.inFlight.set(target, (entry.inFlight.get(target) ?? 0) - 1);
      entry.open.delete(request);
      const ok = completion === "ok";
      const refused = completion === "refused";
      simulation.answer(request, ok ? "ok" : refused ? "refused" : "failed");
    });
  };
  return {
    arrive,
    loseEntry: (index) => {
      for (const request of entries[index]?.open ?? []) {
        simulation.measures.end(request, "lost", simulation.now);
      }
    },
    setTargets: (table) => {
      for (const entry of entries) {
        const delayMs = simulation.random.between(0, MAX_VIEW_DELAY_MS);
        simulation.events.after(delayMs, () => {
          entry.table = servingTargets(table);
        });
      }
    },
    messages: () => 0,
  };
}

function servingTargets(table: readonly Route[]): Map<string, string[]> {
  const targets = new Map<string, string[]>();
  for (const { service, target, state } of table) {
    if (state === "serving") {
      targets.set(service, [...targets.get(service) ?? [], target]);
    }
  }
  return targets;
}

/** Random, round-robin, and fewest requests in flight from the entry itself. */
export const BASELINES: readonly Strategy[] = [
  baseline("random", pickRandom),
  baseline("round robin", pickRoundRobin),
  baseline("least loaded", pickLeastLoaded),
];
