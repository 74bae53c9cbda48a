import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { wait } from "@quetzalcove/daemon/scheduler";
import { eventually } from "@quetzalcove/emulator";
import { type ChangeWorkload, Operators } from "./harness/operators.ts";
import { linearizabilityViolation } from "./harness/history.ts";
import { overlappingRuns, PoolChecker, withPools } from "./harness/pools.ts";
import { ClusterFixture } from "./harness/cluster_fixture.ts";

const RUN_MS = 60;
/** Time after which an operator reverts a pending move of the other one. It must exceed the lease of a frozen entry. */
const MOVE_TIMEOUT_MS = 12_000;
/** Time after which every entry shows an accepted change. */
const CHANGE_VISIBLE_MS = 500;
/** Time by which a timer of a target may fire early. */
const TIMER_TOLERANCE_MS = 2;

describe("a VM that moves between pools", () => {
  const fixture = new ClusterFixture({
    entries: 4,
    replicas: 3,
    vms: 10,
    allServices: true,
    runMs: RUN_MS,
    rules: { budget: { unservedShare: 0.5 } },
    maintenance: { survives: "vm" },
  });
  const { cluster } = fixture;
  const poolChecker = new PoolChecker(cluster);
  let stopped = false;
  let callers: Promise<void>[] = [];

  beforeAll(async () => {
    await fixture.start();
    poolChecker.start();
    callers = cluster.names.flatMap((name) =>
      ["intake", "charts"].map((service) => call(name, service))
    );
  });

  afterAll(async () => {
    stopped = true;
    await Promise.all(callers);
    await poolChecker.stop();
    await fixture.stop();
  });

  const call = async (entry: string, service: string): Promise<void> => {
    for (let number = 0; !stopped; number += 1) {
      await fixture.send(entry, {
        service,
        path: `/${entry}/${service}/${number}`,
      });
    }
  };

  /** Each operator moves a VM of its own between the pools; each change also reverts the move of the other operator. */
  const workload: ChangeWorkload = {
    cluster,
    nextConfiguration: (operator, changeIndex) => ({
      ...fixture.configuration,
      inventory: withPools(
        fixture.configuration.inventory,
        (_, index) =>
          (index + (index === operator * 2 ? changeIndex : 0)) % 2 === 0
            ? "intake"
            : "charts",
      ),
    }),
    entries: () => cluster.names,
  };

  /**
   * Waits until a VM has moved, or none is to be moved since the changes of the operators cancelled out. A fixed pause would let the operators revert each other's moves before any of them
   * completes on a slow machine, because drains take long there. A move that makes no progress is still reverted, after
   * `MOVE_TIMEOUT_MS`.
   */
  const pause = async (): Promise<void> => {
    const { moves } = poolChecker;
    await wait(CHANGE_VISIBLE_MS);
    await eventually(
      () => poolChecker.moves > moves || !poolChecker.isMoving || stopped,
      MOVE_TIMEOUT_MS,
    );
  };

  const waitForMoves = (count: number): Promise<void> => {
    const expectedMoves = poolChecker.moves + count;
    return cluster.waitFor(
      `${count} further moves`,
      () => poolChecker.moves >= expectedMoves,
    );
  };

  it("is in exactly one pool at every moment, although operators race and processes fail", async () => {
    const operators = new Operators(workload, pause);
    operators.start(2);
    await waitForMoves(2);
    const leader = await cluster.leader();
    await cluster.kill(leader);
    await waitForMoves(1);
    cluster.startDaemon(leader);
    cluster.signal("e4", "SIGSTOP");
    await waitForMoves(1);
    cluster.signal("e4", "SIGCONT");
    await waitForMoves(2);
    await operators.stop();
    expect(poolChecker.violations).toEqual([]);
    expect(linearizabilityViolation(operators.history, 1)).toBeUndefined();
  });

  it("runs nothing of a pool before its drain from the other one ended", async () => {
    // The first call after a restart may fail on a connection to the former process.
    let version = 0;
    await cluster.waitFor("a status of e1", async () => {
      version = (await cluster.status("e1"))?.version ?? 0;
      return version > 0;
    });
    await cluster.waitFor("every VM in its pool", async () => {
      const rows = await cluster.vms("e1");
      return rows.length > 0 &&
        rows.every((row) =>
          row.pool === row.desiredPool && row.phase === "serving"
        );
    });
    const rows = await cluster.vms("e1");
    const since = fixture.runs.length;
    await cluster.waitFor(
      "further runs",
      () => fixture.runs.length > since + 100,
    );
    const pools = new Map(rows.map((row) => [row.name, row.pool]));
    const misplacedRuns = fixture.runs.slice(since).filter((run) =>
      pools.get(run.vm) !== run.service
    );
    expect(misplacedRuns).toEqual([]);
    expect(overlappingRuns(fixture.runs, RUN_MS - TIMER_TOLERANCE_MS)).toEqual(
      [],
    );
    expect(version).toBeGreaterThan(1);
    expect(poolChecker.violations).toEqual([]);
  });
});
