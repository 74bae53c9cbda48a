/**
 * CPU time of single routing decisions, measured on the real clock.
 *
 * @module
 */
import { type Route, Router, SlotAllocator } from "@quetzalcove/core";
import type { Outcome, RunOptions, Table } from "../scenario.ts";
import { atMost } from "../scenario.ts";
import { Random } from "./random.ts";
import {
  CONNECTIONS,
  ENTRIES,
  MEAN_RUN_MS,
  routes,
  SLOTS,
  TARGETS_BY_SERVICE,
} from "./simulation.ts";

const ITERATIONS = 50_000;
const RENEWALS = 540;
const REQUESTS_BETWEEN_RENEWALS = 200;
const RENEWAL_MS = 1_000;
const LEASE_MS = 3_000;

/** The present fleet, and the fleet of the two-year plan. */
const FLEETS = [
  { targets: 35, services: 5 },
  { targets: 1_500, services: 21 },
];
const FAR_DEADLINE_MS = 1e9;
const MAX_QUEUE = 64;

/** A refusal may cost at most a tenth of a request's run time. */
const MAX_REFUSAL_RATIO = 0.1;

/** Measures the CPU time of sends, refusals and lease renewals. */
export function benchCost(run: RunOptions): Outcome {
  const served = measureServedMs(run);
  const refused = measureRefusedMs(run);
  const fleets = FLEETS.map((fleet) => ({
    ...fleet,
    ...measureRenewals(run, fleet),
  }));
  const table: Table = {
    name: "processor time of decisions, microseconds",
    columns: ["decision", "us"],
    rows: [
      ["send and complete", 1_000 * served],
      ["refuse", 1_000 * refused],
    ],
  };
  return {
    tables: [table, {
      name: "renewals of 9 entries, one a second each",
      columns: [
        "targets",
        "leader's answer us",
        "leader's share of a core %",
        "report bytes",
        "grant bytes",
      ],
      rows: fleets.map((fleet) => [
        fleet.targets,
        1_000 * fleet.answerMs,
        100 * ENTRIES * fleet.answerMs / RENEWAL_MS,
        fleet.reportBytes,
        fleet.grantBytes,
      ]),
    }],
    checks: [
      atMost(
        "processor time of a refusal over the mean run time of a request",
        refused / MEAN_RUN_MS,
        MAX_REFUSAL_RATIO,
      ),
    ],
  };
}

function createRouter(seed: number, slots: number): Router {
  const { uniform } = new Random(seed);
  const router = new Router({ entry: "e", incarnation: 1, random: uniform });
  const services = TARGETS_BY_SERVICE.map((_, index) => ({
    name: `service-${index}`,
    maxQueue: MAX_QUEUE,
    expectedRunMs: MEAN_RUN_MS,
  }));
  router.setServices(services, 0);
  router.setTargets(routes(), 0);
  router.setAllowance({
    epoch: 1,
    sequence: 1,
    base: 0,
    slots: Object.fromEntries(routes().map(({ target }) => [target, slots])),
    until: FAR_DEADLINE_MS,
  }, 0);
  return router;
}

function submit(router: Router, id: number): void {
  router.submit({
    id: String(id),
    service: "service-4",
    priority: "live",
    deadline: FAR_DEADLINE_MS,
    repeatable: true,
  }, 1);
}

function measureServedMs({ seed, clock }: RunOptions): number {
  const router = createRouter(seed, 1);
  const startedAt = clock();
  for (let id = 0; id < ITERATIONS; id++) {
    submit(router, id);
    router.complete(String(id), "ok", 1 + MEAN_RUN_MS);
  }
  return (clock() - startedAt) / ITERATIONS;
}

function measureRefusedMs({ seed, clock }: RunOptions): number {
  const router = createRouter(seed, 1);
  for (let id = 0; id < MAX_QUEUE * 2; id++) {
    submit(router, -id - 1);
  }
  const startedAt = clock();
  for (let id = 0; id < ITERATIONS; id++) {
    submit(router, id);
  }
  return (clock() - startedAt) / ITERATIONS;
}

/** Measures the leader's time per renewal and the message sizes, under randomly shifting demand. */
function measureRenewals(
  { seed, clock }: RunOptions,
  { targets, services }: { targets: number; services: number },
): { answerMs: number; reportBytes: number; grantBytes: number } {
  const { uniform } = new Random(seed);
  const table = createRoutes(targets, services);
  const setup = { epoch: 1, leaseMs: LEASE_MS, marginMs: 300, entries: [] };
  const allocator = new SlotAllocator(setup, 0);
  allocator.setTargets(table, 0);
  const names = Array.from({ length: services }, (_, index) => ({
    name: `service-${index}`,
    maxQueue: MAX_QUEUE,
    expectedRunMs: MEAN_RUN_MS,
  }));
  const routers = Array.from({ length: ENTRIES }, (_, index) => {
    const router = new Router({
      entry: `entry-${index}`,
      incarnation: 1,
      random: uniform,
    });
    router.setServices(names, 0);
    router.setTargets(table, 0);
    return router;
  });
  const totals = { answerMs: 0, reportBytes: 0, grantBytes: 0 };
  for (let round = -ENTRIES; round < RENEWALS; round++) {
    const now = (round + ENTRIES) * RENEWAL_MS / ENTRIES;
    const router = routers[(round + ENTRIES) % ENTRIES] as Router;
    submitDemand(router, { round, now, services, uniform });
    const report = router.report(1, now);
    const startedAt = clock();
    const grant = allocator.report(report, now);
    const elapsedMs = clock() - startedAt;
    if (grant !== undefined) {
      router.setAllowance({ ...grant, until: now + LEASE_MS }, now);
    }
    if (round >= 0) {
      totals.answerMs += elapsedMs;
      totals.reportBytes += JSON.stringify(report).length;
      totals.grantBytes += JSON.stringify(grant).length;
    }
  }
  return {
    answerMs: totals.answerMs / RENEWALS,
    reportBytes: totals.reportBytes / RENEWALS,
    grantBytes: totals.grantBytes / RENEWALS,
  };
}

/** Submits requests for random services, skewed towards the first ones. */
function submitDemand(
  router: Router,
  { round, now, services, uniform }: {
    round: number;
    now: number;
    services: number;
    uniform: () => number;
  },
): void {
  for (let index = 0; index < REQUESTS_BETWEEN_RENEWALS; index++) {
    const id = `${round}-${index}`;
    const service = Math.floor(uniform() * uniform() * services);
    const [first] = router.submit({
      id,
      service: `service-${service}`,
      priority: "live",
      deadline: now + LEASE_MS,
      repeatable: true,
    }, now);
    if (first?.kind === "send") {
      router.complete(id, "ok", now + MEAN_RUN_MS);
    }
  }
}

function createRoutes(targets: number, services: number): Route[] {
  return Array.from({ length: targets }, (_, index) => ({
    target: `t${index}`,
    service: `service-${index % services}`,
    address: "127.0.0.1:80",
    slots: SLOTS,
    connections: CONNECTIONS,
    state: "serving" as const,
  }));
}
