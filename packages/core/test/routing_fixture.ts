/**
 * Fixture for router tests: one service with a few targets.
 *
 * @module
 */
import { type Route, Router, type Submission } from "@quetzalcove/core";

export const LEASE_END = 1_000_000;

export function route(target: string, changes: Partial<Route> = {}): Route {
  return {
    target,
    service: "intake",
    address: "127.0.0.1:80",
    slots: 8,
    connections: 64,
    state: "serving",
    ...changes,
  };
}

/** A router of one service with the given slots at each target. */
export function routerWith(
  slots: Record<string, number>,
  { maxQueue = 64, until = LEASE_END }: { maxQueue?: number; until?: number } =
    {},
): Router {
  const router = new Router({
    entry: "entry-1",
    incarnation: 1,
    random: () => 0.5,
  });
  router.setServices(
    [{ name: "intake", maxQueue, expectedRunMs: 100 }],
    0,
  );
  router.setTargets(Object.keys(slots).map((target) => route(target)), 0);
  router.setAllowance({ epoch: 1, sequence: 1, base: 0, slots, until }, 0);
  return router;
}

export function submission(
  id: string,
  changes: Partial<Submission> = {},
): Submission {
  return {
    id,
    service: "intake",
    priority: "live",
    deadline: 5_000,
    repeatable: false,
    ...changes,
  };
}
