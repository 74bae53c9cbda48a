import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  allocateCores,
  ArrivalRates,
  type BusyVm,
  chooseMoves,
  chooseReclaims,
  type DemandLimits,
  poolDemands,
  type PoolState,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  queue,
  spec,
  step,
  submit,
  worker,
} from "./scheduling_fixture.ts";

const CORES = 32;

const UNLIMITED: DemandLimits = {
  isUrgent: () => true,
  startable: ({ indices }) => indices.size,
  capCores: () => Infinity,
};

function pool(name: string, changes: Partial<PoolState> = {}): PoolState {
  const vms = changes.vms ?? 0;
  return {
    name,
    standby: false,
    demand: { reserved: 0, waiting: 0, wanted: 0, urgent: 0, vms: 0 },
    cores: vms * CORES,
    vms,
    idle: [],
    ...changes,
  };
}

function demand(wanted: number, vms = 0): PoolState["demand"] {
  return { reserved: 0, waiting: 0, wanted, urgent: 0, vms };
}

function busy(
  vm: string,
  on: string,
  reservedCores: number,
  isReclaimed = false,
): BusyVm {
  return { vm, pool: on, cores: CORES, reservedCores, isReclaimed };
}

// Guards against the load of two queues that peak one after the other: the first one's late backlog held the whole
// fleet for 6 s, in which every job of the second one became late.
describe("dividing cores that are too few", () => {
  it("serves jobs that can meet their objective before late ones", () => {
    const allocated = allocateCores([
      { pool: "late", urgent: 100, total: 9_000 },
      { pool: "rising", urgent: 3_000, total: 3_000 },
    ], 6_000);
    expect(Object.fromEntries(allocated)).toMatchInlineSnapshot(`
      {
        "late": 3000,
        "rising": 3000,
      }
    `);
  });

  it("gives equal parts to large claims and all to small ones", () => {
    const allocated = allocateCores([
      { pool: "a", urgent: 4_000, total: 4_000 },
      { pool: "b", urgent: 9_000, total: 9_000 },
      { pool: "c", urgent: 500, total: 500 },
    ], 6_500);
    expect(Object.fromEntries(allocated)).toMatchInlineSnapshot(`
      {
        "a": 3000,
        "b": 3000,
        "c": 500,
      }
    `);
  });

  it("gives no pool more than it claims and leaves nothing while one claims more", () => {
    const claim = fc.record({
      urgent: fc.integer({ min: 0, max: 9_000 }),
      late: fc.integer({ min: 0, max: 9_000 }),
    });
    fc.assert(
      fc.property(
        fc.array(claim, { minLength: 1, maxLength: 6 }),
        fc.integer({ min: 0, max: 20_000 }),
        (sizes, cores) => {
          const claims = sizes.map(({ urgent, late }, i) => ({
            pool: `p${i}`,
            urgent,
            total: urgent + late,
          }));
          const allocated = allocateCores(claims, cores);
          const given = [...allocated.values()].reduce((a, b) => a + b, 0);
          const claimed = claims.reduce((sum, { total }) => sum + total, 0);
          claims.forEach(({ pool: name, total }) =>
            expect(allocated.get(name)).toBeLessThanOrEqual(total + 1e-6)
          );
          expect(given).toBeCloseTo(Math.min(cores, claimed), 3);
        },
      ),
    );
  });
});

describe("the demand of a pool", () => {
  it("is urgent only for waiting tasks whose job can still meet its objective", () => {
    const store = newJobStore([worker("w1")], queue());
    submit(store, "late", spec(step({ taskCount: 10 })), 0);
    submit(store, "new", spec(step({ taskCount: 4 })), 9_000);
    const { wanted, urgent } = poolDemands(
      store,
      new ArrivalRates(0),
      new WorkEstimate(),
      10_000,
      { ...UNLIMITED, isUrgent: ({ job }) => job.id === "new" },
    ).get("intake") ?? { wanted: 0, urgent: 0 };
    expect({ wanted, urgent }).toEqual({ wanted: 14, urgent: 4 });
  });
});

// Guards against VMs that are moved to a pool for a customer at its cap, whose tasks cannot start there.
describe("the demand of a pool whose customer is at its cap", () => {
  it("counts only the waiting tasks that may start", () => {
    const store = newJobStore([worker("w1")], queue());
    submit(store, "hot", spec(step({ taskCount: 10 })), 9_000);
    const demands = poolDemands(
      store,
      new ArrivalRates(0),
      new WorkEstimate(),
      10_000,
      { ...UNLIMITED, startable: () => 3 },
    );
    expect(demands.get("intake")).toMatchObject({ waiting: 3, wanted: 3 });
  });

  it("counts arrivals up to the caps of those who send them", () => {
    const store = newJobStore([worker("w1")], queue());
    const rates = new ArrivalRates(-10_000);
    for (let at = 0; at < 1_000; at += 100) {
      rates.record("intake", () => 8_000, at, at < 500 ? "hot" : "calm");
    }
    const wanted = (capCores: number): number | undefined =>
      poolDemands(store, rates, new WorkEstimate(), 900, {
        ...UNLIMITED,
        capCores: () => capCores,
      }).get("intake")?.wanted;
    expect([wanted(Infinity), wanted(20)]).toEqual([80, 40]);
  });
});

describe("reclaiming busy VMs", () => {
  const hoarding = pool("hoarding", {
    vms: 6,
    demand: demand(900),
    allocated: 96,
  });
  const short = pool("short", { vms: 1, demand: demand(500), allocated: 160 });

  it("takes those with the least work, as many as the short pool lacks", () => {
    const chosen = chooseReclaims([hoarding, short], () => [
      busy("full", "hoarding", 32),
      busy("half", "hoarding", 16),
      busy("calm", "hoarding", 4),
      busy("other", "short", 1),
    ]);
    expect([...chosen]).toEqual(["calm", "half"]);
  });

  it("keeps the choice of earlier passes, so that runs are not turned away in vain", () => {
    const chosen = chooseReclaims([hoarding, short], () => [
      busy("calm", "hoarding", 4),
      busy("half", "hoarding", 16, true),
      busy("full", "hoarding", 32, true),
    ]);
    expect([...chosen]).toEqual(["half", "full"]);
  });

  it("takes none if idle VMs suffice or every pool has its part", () => {
    const enough = pool("short", {
      vms: 3,
      demand: demand(500),
      allocated: 96,
    });
    expect(
      chooseReclaims([hoarding, enough], () => [busy("calm", "hoarding", 4)]),
    )
      .toEqual(new Set());
  });

  it("leaves a pool the VMs over which a step is spread", () => {
    const spread = pool("hoarding", {
      vms: 6,
      demand: demand(900, 5),
      allocated: 64,
    });
    const chosen = chooseReclaims([spread, short], () => [
      busy("a", "hoarding", 4),
      busy("b", "hoarding", 8),
    ]);
    expect([...chosen]).toEqual(["a"]);
  });

  it("moves an idle VM out of a pool that holds more than its part, although it wants more", () => {
    const idle = { vm: "idle", pool: "hoarding", cores: CORES, idleMs: 0 };
    const moves = chooseMoves([{ ...hoarding, idle: [idle] }, { ...short }]);
    expect(moves).toEqual([{ vm: "idle", from: "hoarding", to: "short" }]);
  });
});
