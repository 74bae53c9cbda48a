import process from "node:process";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { wait } from "@quetzalcove/daemon/scheduler";
import { linearizabilityViolation } from "../harness/history.ts";
import {
  type ChangeWorkload,
  lostChanges,
  Operators,
} from "../harness/operators.ts";
import { seededRandomInt } from "../harness/random_int.ts";
import { overlappingRuns, PoolChecker, withPools } from "../harness/pools.ts";
import { ClusterFixture } from "../harness/cluster_fixture.ts";
import { Callers, MIN_RUN_MS } from "./callers.ts";
import { injectFault } from "./faults.ts";
import { type FaultStep, nextStep } from "./schedule.ts";

const MINUTES = Number(process.env["QUETZALCOVE_TORTURE_MINUTES"] ?? 10);
const SEED = Number(process.env["QUETZALCOVE_TORTURE_SEED"] ?? 1);
const REPLICAS = 3;
const CALLERS = 12;
/** Longer than a move takes, so that some moves complete before an operator reverts them. */
const OPERATOR_PAUSE_MS = 2_000;
/** Time by which a timer of a target may fire early. */
const TIMER_TOLERANCE_MS = 2;

describe(`a cluster under random faults for ${MINUTES} minutes, seed ${SEED}`, () => {
  const fixture = new ClusterFixture({
    entries: 5,
    replicas: REPLICAS,
    vms: 10,
    allServices: true,
    runMs: MIN_RUN_MS,
    rules: { budget: { unservedShare: 0.5 } },
    maintenance: { survives: "vm" },
    settings: {
      raft: { heartbeatMs: 150, electionMinMs: 600, snapshotEveryEntries: 500 },
      stop: { noticeMs: 500, graceMs: 5_000 },
    },
  });
  const { cluster } = fixture;

  beforeAll(() => fixture.start());
  afterAll(() => fixture.stop());

  const printLine = (text: string): void => {
    process.stdout.write(`${new Date().toISOString()} ${text}\n`);
  };

  /** Waits until all replicas have recovered, so that a lost disk never coincides with another lost replica. */
  const waitForRecovery = async (): Promise<void> => {
    await cluster.waitFor("health of every entry", async () => {
      const answers = await Promise.all(
        cluster.names.map((name) => callAdmin(cluster.admin(name), "/healthz")),
      );
      return answers.every((answer) => answer?.status === 200);
    });
    await cluster.waitFor("the whole log at every replica", async () => {
      const answer = await callAdmin<
        { replicas?: { role: string; matched: number }[] }
      >(cluster.admin("e1"), "/v1/replicas");
      const rows = answer?.value.replicas ?? [];
      const last = Math.max(...rows.map((row) => row.matched));
      return rows.length === REPLICAS &&
        rows.every((row) => row.role !== "learner" && last - row.matched < 20);
    });
  };

  const runStep = async (step: FaultStep, callers: Callers): Promise<void> => {
    const entry = step.entry === undefined
      ? await cluster.leader()
      : cluster.names[step.entry] ?? "e1";
    printLine(`${step.kind} at ${entry} for ${step.requests} requests`);
    const isReplica = cluster.names.indexOf(entry) < REPLICAS;
    const expectedCount = callers.completedRequests + step.requests;
    const end = await injectFault(cluster, step, { entry, isReplica });
    await cluster.waitFor(
      "requests during the fault",
      () => callers.completedRequests >= expectedCount,
    );
    end();
    await waitForRecovery();
  };

  it("violates no invariant", async () => {
    printLine(`seed ${SEED}, ${MINUTES} minutes`);
    const randomInt = seededRandomInt(SEED);
    const callerRandomInt = seededRandomInt(SEED + 1);
    const operatorRandomInt = seededRandomInt(SEED + 2);
    const callers = new Callers(fixture, callerRandomInt);
    const workload: ChangeWorkload = {
      cluster,
      nextConfiguration: () => ({
        ...fixture.configuration,
        inventory: withPools(
          fixture.configuration.inventory,
          () => operatorRandomInt(6) === 0 ? "charts" : "intake",
        ),
      }),
      entries: () => cluster.names,
    };
    const first = (await cluster.status("e1"))?.version ?? -1;
    const operators = new Operators(
      workload,
      () => wait(OPERATOR_PAUSE_MS),
    );
    const poolChecker = new PoolChecker(cluster);
    callers.start(CALLERS);
    operators.start(2);
    poolChecker.start();
    const endAt = performance.now() + MINUTES * 60_000;
    let steps = 0;
    while (
      performance.now() < endAt &&
      callers.violations.length + poolChecker.violations.length === 0
    ) {
      await runStep(nextStep(randomInt, cluster.names.length), callers);
      steps += 1;
    }
    await operators.stop();
    await callers.stop();
    await poolChecker.stop();
    printLine(
      `faults ${steps}, accepted changes ${operators.accepted.size}, runs ${fixture.runs.length}`,
    );
    printLine(`outcomes ${JSON.stringify([...callers.outcomeCounts])}`);
    printLine(
      `pool readings ${poolChecker.readingCount}, observed moves ${poolChecker.moves}`,
    );
    expect(callers.violations).toEqual([]);
    expect(poolChecker.violations).toEqual([]);
    expect(poolChecker.moves).toBeGreaterThan(0);
    expect(linearizabilityViolation(operators.history, first)).toBeUndefined();
    expect(await lostChanges(workload, operators.accepted)).toEqual([]);
    expect(overlappingRuns(fixture.runs, MIN_RUN_MS - TIMER_TOLERANCE_MS))
      .toEqual([]);
    const counts = new Map<string, number>();
    fixture.runs.forEach(({ key }) => {
      if (key !== undefined) {
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
    });
    expect([...counts].filter(([, count]) => count > 1)).toEqual([]);
  });
});
