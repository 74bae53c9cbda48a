import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "@quetzalcove/emulator";
import { type ChangeWorkload, Operators } from "./harness/operators.ts";
import { linearizabilityViolation } from "./harness/history.ts";
import { overlappingRuns, PoolChecker, withPools } from "./harness/pools.ts";
import { ClusterFixture } from "./harness/cluster_fixture.ts";

const RUN_MS = 60;
/** Time after which an operator withdraws a move of the other one, in milliseconds: above the lease of a frozen entry. */
const PATIENCE_MS = 12_000;
/** Timers of the targets may end this much early, in milliseconds. */
const TIMER_MS = 2;

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

  /** Two VMs swap their pools with each change; the operators do not agree on which. */
  const workload: ChangeWorkload = {
    cluster,
    nextConfiguration: (operator, turn) => ({
      ...fixture.configuration,
      inventory: withPools(
        fixture.configuration.inventory,
        (_, index) =>
          (index + (index === operator * 2 ? turn : 0)) % 2 === 0
            ? "intake"
            : "charts",
      ),
    }),
    entries: () => cluster.names,
  };

  /**
   * Until a VM has moved, however long its drain takes: an operator that withdraws the other one's moves at fixed times
   * would let none of them end on a slow machine. Some moves are withdrawn all the same, when one stands still.
   */
  const pause = async (): Promise<void> => {
    const { moves } = poolChecker;
    await eventually(() => poolChecker.moves > moves || stopped, PATIENCE_MS);
  };

  const moved = (count: number): Promise<void> => {
    const wanted = poolChecker.moves + count;
    return cluster.waitFor(`${count} moves`, () => poolChecker.moves >= wanted);
  };

  it("is in exactly one pool at every moment, although operators race and processes fail", async () => {
    const operators = new Operators(workload, pause);
    operators.start(2);
    await moved(2);
    const leader = await cluster.leader();
    await cluster.kill(leader);
    await moved(1);
    cluster.startDaemon(leader);
    cluster.signal("e4", "SIGSTOP");
    await moved(1);
    cluster.signal("e4", "SIGCONT");
    await moved(2);
    await operators.stop();
    expect(poolChecker.violations).toEqual([]);
    expect(linearizabilityViolation(operators.history, 1)).toBeUndefined();
  });

  it("runs nothing of a pool before its drain from the other one ended", async () => {
    const last = await cluster.status("e1");
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
      "later runs",
      () => fixture.runs.length > since + 100,
    );
    const pools = new Map(rows.map((row) => [row.name, row.pool]));
    const strays = fixture.runs.slice(since).filter((run) =>
      pools.get(run.vm) !== run.service
    );
    expect(strays).toEqual([]);
    expect(overlappingRuns(fixture.runs, RUN_MS - TIMER_MS)).toEqual([]);
    expect(last?.version).toBeGreaterThan(1);
    expect(poolChecker.violations).toEqual([]);
  });
});
