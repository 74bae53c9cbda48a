/**
 * Baselines without admission, queues or shared slots: each entry forwards every request at once.
 *
 * @module
 */
import type { Route } from "@quetzalcove/core";
import type { SimulatedRequest } from "./measures.ts";
import { type Sharing, type Strategy, VIEW_DELAY_MS } from "./strategy.ts";
import { routes, type World } from "./world.ts";

/** What a baseline chooses a target from. */
interface Choice {
  targets: readonly string[];
  /** Requests of this entry in flight, by target. */
  inFlight: ReadonlyMap<string, number>;
  /** Requests of this service that this entry has forwarded. */
  forwarded: number;
  random: () => number;
}

type Pick = (choice: Choice) => string | undefined;

function pickRandom({ targets, random }: Choice): string | undefined {
  return targets[Math.floor(random() * targets.length)];
}

function pickNext({ targets, forwarded }: Choice): string | undefined {
  return targets[forwarded % targets.length];
}

function pickLeast(choice: Choice): string | undefined {
  let best: string | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const target of choice.targets) {
    const load = (choice.inFlight.get(target) ?? 0) + 0.5 * choice.random();
    if (load < least) {
      best = target;
      least = load;
    }
  }
  return best;
}

function baseline(name: string, pick: Pick): Strategy {
  return { name, excess: "wait", start: (world) => forwarding(world, pick) };
}

function forwarding(world: World, pick: Pick): Sharing {
  const entries = Array.from({ length: world.entries }, () => ({
    table: tableOf(routes()),
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
      random: world.random.uniform,
    });
    if (entry === undefined || target === undefined) {
      world.answer(request, "refused");
      return;
    }
    entry.forwarded.set(service, forwarded + 1);
    entry.inFlight.set(target, (entry.inFlight.get(target) ?? 0) + 1);
    entry.open.add(request);
    world.forward(target, request, (completion) => {
      entry.inFlight.set(target, (entry.inFlight.get(target) ?? 0) - 1);
      entry.open.delete(request);
      const ok = completion === "ok";
      const refused = completion === "refused";
      world.answer(request, ok ? "ok" : refused ? "refused" : "failed");
    });
  };
  return {
    arrive,
    loseEntry: (index) => {
      for (const request of entries[index]?.open ?? []) {
        world.measures.end(request, "lost", world.now);
      }
    },
    setTargets: (table) => {
      for (const entry of entries) {
        const delayMs = world.random.between(0, VIEW_DELAY_MS);
        world.events.after(delayMs, () => {
          entry.table = tableOf(table);
        });
      }
    },
    messages: () => 0,
  };
}

function tableOf(table: readonly Route[]): Map<string, string[]> {
  const targets = new Map<string, string[]>();
  for (const { service, target, state } of table) {
    if (state === "serving") {
      targets.set(service, [...targets.get(service) ?? [], target]);
    }
  }
  return targets;
}

/** Random choice, round robin, and fewest of the entry's own requests in flight. */
export const BASELINES: readonly Strategy[] = [
  baseline("random", pickRandom),
  baseline("round robin", pickNext),
  baseline("least loaded", pickLeast),
];
