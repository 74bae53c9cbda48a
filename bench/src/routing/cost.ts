/**
 * Processor time of single decisions, measured on the real clock.
 *
 * @module
 */
import { type Route, Router, SlotAllocator } from "@quetzalcove/core";
import type { Outcome, Run, Table } from "../scenario.ts";
import { atMost } from "../scenario.ts";
import { Random } from "./random.ts";
import {
  CONNECTIONS,
  ENTRIES,
  MEAN_RUN_MS,
  routes,
  SLOTS,
  TARGETS_BY_SERVICE,
} from "./world.ts";

const ROUNDS = 50_000;
const RENEWALS = 540;
const REQUESTS_BETWEEN_RENEWALS = 200;
const RENEWAL_MS = 1_000;
const LEASE_MS = 3_000;

/** Today's fleet and the one to design for. */
const FLEETS = [
  { targets: 35, services: 5 },
  { targets: 1_500, services: 21 },
];
const FAR_DEADLINE_MS = 1e9;
const MAX_QUEUE = 64;

/** Target: a refusal costs at most a tenth of the time of a request. */
const MAX_REFUSAL_RATIO = 0.1;

/** Measures sending, refusing and renewals. */
export function benchCost(run: Run): Outcome {
  const served = servedMs(run);
  const refused = refusedMs(run);
  const fleets = FLEETS.map((fleet) => ({
    ...fleet,
    ...renewals(run, fleet),
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

function routerOf(seed: number, slots: number): Router {
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

function servedMs({ seed, clock }: Run): number {
  const router = routerOf(seed, 1);
  const from = clock();
  for (let id = 0; id < ROUNDS; id++) {
    submit(router, id);
    router.complete(String(id), "ok", 1 + MEAN_RUN_MS);
  }
  return (clock() - from) / ROUNDS;
}

function refusedMs({ seed, clock }: Run): number {
  const router = routerOf(seed, 1);
  for (let id = 0; id < MAX_QUEUE * 2; id++) {
    submit(router, -id - 1);
  }
  const from = clock();
  for (let id = 0; id < ROUNDS; id++) {
    submit(router, id);
  }
  return (clock() - from) / ROUNDS;
}

/** Time of the leader's answer and size of the messages, under a demand that shifts at random. */
function renewals(
  { seed, clock }: Run,
  { targets, services }: { targets: number; services: number },
): { answerMs: number; reportBytes: number; grantBytes: number } {
  const { uniform } = new Random(seed);
  const table = tableOf(targets, services);
  const setup = { epoch: 1, leaseMs: LEASE_MS, marginMs: 300, entries: [] };
  const ledger = new SlotAllocator(setup, 0);
  ledger.setTargets(table, 0);
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
  const sums = { answerMs: 0, reportBytes: 0, grantBytes: 0 };
  for (let round = -ENTRIES; round < RENEWALS; round++) {
    const now = (round + ENTRIES) * RENEWAL_MS / ENTRIES;
    const router = routers[(round + ENTRIES) % ENTRIES] as Router;
    demand(router, { round, now, services, uniform });
    const report = router.report(1, now);
    const from = clock();
    const grant = ledger.report(report, now);
    const spentMs = clock() - from;
    if (grant !== undefined) {
      router.setAllowance({ ...grant, until: now + LEASE_MS }, now);
    }
    if (round >= 0) {
      sums.answerMs += spentMs;
      sums.reportBytes += JSON.stringify(report).length;
      sums.grantBytes += JSON.stringify(grant).length;
    }
  }
  return {
    answerMs: sums.answerMs / RENEWALS,
    reportBytes: sums.reportBytes / RENEWALS,
    grantBytes: sums.grantBytes / RENEWALS,
  };
}

/** Requests of random services; the first services are asked for most. */
function demand(
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

function tableOf(targets: number, services: number): Route[] {
  return Array.from({ length: targets }, (_, index) => ({
    target: `t${index}`,
    service: `service-${index % services}`,
    address: "127.0.0.1:80",
    slots: SLOTS,
    connections: CONNECTIONS,
    state: "serving" as const,
  }));
}
