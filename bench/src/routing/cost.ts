/**
 * Processor time of single decisions, measured on the real clock.
 *
 * @module
 */
import { Router, SlotLedger } from "@quetzalcove/core";
import type { Outcome, Run, Table } from "../scenario.ts";
import { atMost } from "../scenario.ts";
import { Random } from "./random.ts";
import { ENTRIES, MEAN_RUN_MS, routes, TARGETS_BY_SERVICE } from "./world.ts";

const ROUNDS = 50_000;
const REPORT_ROUNDS = 2_000;
const FAR_DEADLINE_MS = 1e9;
const MAX_QUEUE = 64;

/** Target: a refusal costs at most a tenth of the time of a request. */
const MAX_REFUSAL_RATIO = 0.1;

/** Measures sending, refusing and the leader's answer to a report. */
export function benchCost(run: Run): Outcome {
  const served = servedMs(run);
  const refused = refusedMs(run);
  const report = reportMs(run);
  const table: Table = {
    name: "processor time of decisions, microseconds",
    columns: ["decision", "us"],
    rows: [
      ["send and complete", 1_000 * served],
      ["refuse", 1_000 * refused],
      ["leader's answer to a report", 1_000 * report],
    ],
  };
  return {
    tables: [table],
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

function reportMs({ seed, clock }: Run): number {
  const { uniform } = new Random(seed);
  const names = Array.from({ length: ENTRIES }, (_, index) => `e${index}`);
  const setup = { epoch: 1, leaseMs: 3_000, marginMs: 300, entries: names };
  const ledger = new SlotLedger(setup, 0);
  ledger.setTargets(routes(), 0);
  const routers = names.map((entry) =>
    new Router({ entry, incarnation: 1, random: uniform })
  );
  const services = TARGETS_BY_SERVICE.map((_, index) => ({
    name: `service-${index}`,
    maxQueue: MAX_QUEUE,
  }));
  routers.forEach((router) => router.setServices(services, 0));
  let spentMs = 0;
  for (let round = 0; round < REPORT_ROUNDS; round++) {
    const now = round * 1_000 / ENTRIES;
    const router = routers[round % ENTRIES] as Router;
    const report = router.report(1, now);
    const from = clock();
    const grant = ledger.report(report, now);
    spentMs += clock() - from;
    if (grant !== undefined) {
      router.setAllowance({ ...grant, until: now + 3_000 }, now);
    }
  }
  return spentMs / REPORT_ROUNDS;
}
