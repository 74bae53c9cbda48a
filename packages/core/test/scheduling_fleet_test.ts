import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  ArrivalRates,
  chooseMoves,
  DemandTrend,
  type IdleVm,
  planMaintenance,
  poolDemands,
  type PoolState,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { type MemberView, nextMembershipChange } from "@quetzalcove/core";
import {
  newJobStore,
  spec,
  step,
  submit,
  worker,
} from "./scheduling_fixture.ts";

const CORES = 32;

function idle(vm: string, pool: string, idleMs = 0): IdleVm {
  return { vm, pool, cores: CORES, idleMs };
}

function pool(
  name: string,
  wanted: number,
  vms: number,
  idleVms: IdleVm[] = [],
  standby = false,
): PoolState {
  return {
    name,
    standby,
    demand: { reserved: 0, waiting: 0, wanted, urgent: 0, vms: 0 },
    cores: vms * CORES,
    vms,
    idle: idleVms,
  };
}

describe("moving VMs between pools", () => {
  it("takes idle VMs of other pools before those in standby", () => {
    const moves = chooseMoves([
      pool("busy", 80, 2),
      pool("calm", 10, 3, [idle("a", "calm"), idle("b", "calm")]),
      pool("off", 0, 0, [idle("c", "off", Infinity)], true),
    ]);
    expect(moves).toEqual([{ vm: "a", from: "calm", to: "busy" }]);
  });

  it("takes no VM from a pool that needs it", () => {
    const moves = chooseMoves([
      pool("busy", 200, 2),
      pool("other", 70, 3, [idle("a", "other", 9_999)]),
    ]);
    expect(moves).toEqual([]);
  });

  // Long-running steps with one task per worker waited for ever, as their cores alone would have fitted.
  it("brings VMs to a pool whose steps cannot be spread otherwise, although it has enough cores", () => {
    const spread = pool("spread", 10, 2);
    spread.demand.vms = 4;
    const moves = chooseMoves([
      spread,
      pool("calm", 10, 5, ["a", "b", "c"].map((vm) => idle(vm, "calm"))),
    ]);
    expect(moves.map(({ vm, to }) => `${vm} ${to}`)).toEqual([
      "a spread",
      "b spread",
    ]);
  });

  it("leaves a pool the VMs over which its steps are spread", () => {
    const spread = pool("spread", 10, 3, [
      idle("a", "spread", 9_999),
      idle("b", "spread", 9_999),
    ]);
    spread.demand.vms = 2;
    const moves = chooseMoves([spread, pool("off", 0, 0, [], true)]);
    expect(moves.map(({ vm }) => vm)).toEqual(["a"]);
  });

  it("moves VMs to standby that are not needed and have been idle for long", () => {
    const moves = chooseMoves([
      pool("calm", 20, 3, [
        idle("a", "calm", 100),
        idle("b", "calm", 5_000),
        idle("c", "calm", 5_000),
      ]),
      pool("off", 0, 0, [], true),
    ]);
    expect(moves.map(({ vm, to }) => `${vm} ${to}`)).toEqual([
      "b off",
      "c off",
    ]);
  });

  it("moves no VM twice, and causes no shortage in a pool", () => {
    const state = fc.record({
      wanted: fc.integer({ min: 0, max: 400 }),
      vms: fc.integer({ min: 0, max: 12 }),
      idleShare: fc.double({ min: 0, max: 1, noNaN: true }),
      idleMs: fc.integer({ min: 0, max: 6_000 }),
    });
    fc.assert(fc.property(
      fc.array(state, { minLength: 2, maxLength: 5 }),
      fc.integer({ min: 0, max: 6 }),
      (states, off) => {
        const pools = states.map(({ wanted, vms, idleShare, idleMs }, i) => {
          const idleVms = Array.from(
            { length: Math.floor(vms * idleShare) },
            (_, j) => idle(`p${i}-${j}`, `p${i}`, idleMs),
          );
          return pool(`p${i}`, wanted, vms, idleVms);
        });
        const reserve = Array.from(
          { length: off },
          (_, j) => idle(`off-${j}`, "off", Infinity),
        );
        const had = new Map(pools.map(({ name, cores }) => [name, cores]));
        const moves = chooseMoves([...pools, pool("off", 0, 0, reserve, true)]);
        expect(new Set(moves.map(({ vm }) => vm)).size).toBe(moves.length);
        for (const { name, demand, cores } of pools) {
          const wasEnough = (had.get(name) ?? 0) >= demand.wanted / 0.85;
          if (wasEnough) {
            expect(cores).toBeGreaterThanOrEqual(demand.wanted / 0.85);
          }
        }
      },
    ));
  });
});

describe("the trend of demand", () => {
  /** Records one sample each 50 ms, of a demand given by its time in milliseconds. */
  function trendOf(
    cores: (at: number) => number,
    untilMs: number,
  ): DemandTrend {
    const trend = new DemandTrend();
    for (let at = 0; at <= untilMs; at += 50) {
      trend.record("pool", cores(at), at);
    }
    return trend;
  }

  it("foresees a steady rise by the time that a move takes", () => {
    const rising = trendOf((at) => 500 + at, 1_500);
    expect(rising.forecast("pool")).toBeGreaterThan(3_500);
    expect(rising.forecast("pool")).toBeLessThan(4_300);
  });

  it("is the present demand while that is steady or falls", () => {
    expect(trendOf(() => 800, 1_500).forecast("pool")).toBe(800);
    expect(trendOf((at) => 3_000 - at, 1_500).forecast("pool")).toBe(1_500);
  });

  it("is limited for demand that rises in one step", () => {
    const step = trendOf((at) => at < 1_000 ? 10 : 1_000, 1_200);
    expect(step.forecast("pool")).toBeLessThanOrEqual(4_000);
  });

  it("ends soon after the rise", () => {
    const risen = trendOf((at) => Math.min(2_000, 500 + at), 2_700);
    expect(risen.forecast("pool")).toBe(2_000);
  });

  it("is not inferred from a few samples", () => {
    expect(trendOf((at) => at, 250).forecast("pool")).toBe(250);
  });
});

describe("the demand of a pool", () => {
  it("includes a VM for each part of a waiting step that is spread", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "j1", spec(step({ taskCount: 9, maxPerWorker: 2 })));
    const demands = poolDemands(
      store,
      new ArrivalRates(-60_000),
      new WorkEstimate(),
      0,
    );
    expect(demands.get("intake")?.vms).toBe(5);
  });

  it("follows the durations that are learned after a job has arrived", () => {
    const rates = new ArrivalRates(-60_000);
    let taskMs = 100;
    for (let at = 0; at < 500; at += 50) {
      rates.record("pool", () => 10 * taskMs, at);
    }
    const before = rates.rate("pool", 500);
    taskMs = 1_000;
    expect(rates.rate("pool", 500)).toBeCloseTo(10 * before);
  });
});

describe("a burst of demand", () => {
  it("shows in the arrival rate in less time than a move takes", () => {
    const rates = new ArrivalRates(-60_000);
    // A job of 10 core-seconds every 25 ms needs 400 cores.
    let now = 0;
    for (; now < 1_000; now += 25) {
      rates.record("pool", () => 10_000, now);
    }
    expect(rates.rate("pool", now)).toBeGreaterThan(300);
    expect(rates.rate("pool", now)).toBeLessThan(450);
    expect(rates.rate("pool", now + 2_000)).toBeLessThan(10);
  });

  it("shows within a few jobs after a time without arrivals", () => {
    const rates = new ArrivalRates(-60_000);
    [0, 25, 50, 75, 100, 125, 150, 175].forEach((at) =>
      rates.record("pool", () => 10_000, at)
    );
    expect(rates.rate("pool", 200)).toBeGreaterThan(300);
  });

  // Guards against moves of VMs for a demand of several fleets after a change of leader.
  it("is not inferred from jobs that waited for a leader and arrive together", () => {
    const rates = new ArrivalRates(0);
    // 40 jobs of 10 core-seconds in the second before this leader served.
    for (let i = 0; i < 40; i++) {
      rates.record("pool", () => 10_000, 200 + i / 10);
    }
    expect(rates.rate("pool", 210)).toBeLessThan(450);
  });

  it("is not inferred from a single large job", () => {
    const rates = new ArrivalRates(-60_000);
    rates.record("pool", () => 80_000, 0);
    expect(rates.rate("pool", 10)).toBe(0);
  });
});

describe("maintenance of a wave", () => {
  const due = fc.record({
    runs: fc.integer({ min: 0, max: 3 }),
    lastingRuns: fc.integer({ min: 0, max: 1 }),
    evacuations: fc.integer({ min: 0, max: 12 }),
    isPoolBusy: fc.boolean(),
    isDraining: fc.boolean(),
    isUp: fc.boolean(),
  });

  it("takes down at most the allowed number of VMs, and none that is busy or not up", () => {
    fc.assert(fc.property(
      fc.array(due, { maxLength: 12 }),
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 0, max: 8 }),
      fc.integer({ min: -5_000, max: 60_000 }),
      (vms, maxDown, down, leftMs) => {
        const named = vms.map((vm, i) => ({ ...vm, vm: `vm${i}` }));
        const plan = planMaintenance({ maxDown, down, leftMs, due: named });
        expect(plan.takeDown.length).toBeLessThanOrEqual(
          Math.max(0, maxDown - down),
        );
        for (const vm of plan.takeDown) {
          expect(named.find((each) => each.vm === vm)).toMatchObject({
            runs: 0,
            isUp: true,
          });
        }
        expect(plan.drain.length + plan.takeDown.length + down)
          .toBeLessThanOrEqual(Math.max(maxDown, down));
      },
    ));
  });

  const busy = {
    vm: "a",
    runs: 5,
    lastingRuns: 0,
    evacuations: 0,
    isPoolBusy: true,
    isDraining: false,
    isUp: true,
  };

  it("drains VMs of a busy pool only when the wave is short of time", () => {
    const progress = { maxDown: 4, down: 0, due: [busy] };
    expect(planMaintenance({ ...progress, leftMs: 60_000 }).drain).toEqual([]);
    expect(planMaintenance({ ...progress, leftMs: 5_000 }).drain).toEqual([
      "a",
    ]);
  });

  // Guards against waves that end late, as the VMs whose long-running tasks leave one after the other come last.
  it("drains VMs first whose long-running tasks take the time left to leave, also in a busy pool", () => {
    const lasting = { ...busy, vm: "lasting", lastingRuns: 2, evacuations: 8 };
    const due = [{ ...busy, isPoolBusy: false }, lasting];
    const drainedAt = (leftMs: number): string[] =>
      planMaintenance({ maxDown: 1, down: 0, leftMs, due }).drain;
    expect([60_000, 25_000, 20_000].map(drainedAt)).toEqual([
      ["a"],
      ["a"],
      ["lasting"],
    ]);
  });

  it("takes down no more VMs at once than it needs to end in time", () => {
    const off = Array.from({ length: 16 }, (_, i) => ({
      ...busy,
      vm: `off${i}`,
      runs: 0,
    }));
    const plan = planMaintenance({
      maxDown: 7,
      down: 0,
      leftMs: 25_000,
      due: off,
    });
    // 16 VMs of 3 s each in 25 s: two at once just suffice.
    expect(plan.takeDown.length).toBeGreaterThanOrEqual(2);
    expect(plan.takeDown.length).toBeLessThan(5);
    const late = planMaintenance({
      maxDown: 7,
      down: 0,
      leftMs: 9_000,
      due: off,
    });
    expect(late.takeDown.length).toBe(7);
  });

  it("takes down a drained VM before others", () => {
    const due = [
      ...Array.from({ length: 3 }, (_, i) => ({
        ...busy,
        vm: `off${i}`,
        runs: 0,
      })),
      { ...busy, vm: "emptied", runs: 0, isDraining: true },
    ];
    const plan = planMaintenance({ maxDown: 4, down: 3, leftMs: 60_000, due });
    expect(plan.takeDown).toEqual(["emptied"]);
  });

  it("continues to drain a VM before it drains others", () => {
    const others = [busy, { ...busy, vm: "b", isDraining: true }];
    const plan = planMaintenance({
      maxDown: 1,
      down: 0,
      leftMs: 60_000,
      due: others,
    });
    expect(plan.drain).toEqual(["b"]);
  });
});

describe("the members of a Raft group whose VMs change", () => {
  const RULES = { voters: 5, lostAfterMs: 6_000, learnerLostAfterMs: 30_000 };

  function member(
    replica: string,
    changes: Partial<MemberView> = {},
  ): MemberView {
    return {
      replica: `${replica}#0000`,
      entry: replica,
      isVoter: true,
      isCaughtUp: true,
      silentMs: 0,
      trackedMs: 60_000,
      ...changes,
    };
  }

  const five = ["a", "b", "c", "d", "e"].map((name) => member(name));

  it("grow to the configured number of voters as learners catch up", () => {
    const behind = member("d", { isVoter: false, isCaughtUp: false });
    const ready = member("e", { isVoter: false });
    const members = [...five.slice(0, 3), behind, ready];
    expect(nextMembershipChange(members, RULES)).toEqual({
      kind: "promote",
      replica: "e#0000",
    });
  });

  it("keep a silent voter while no learner has caught up to replace it", () => {
    const members = [...five.slice(0, 4), member("e", { silentMs: 60_000 })];
    expect(nextMembershipChange(members, RULES)).toBeUndefined();
  });

  it("lose a silent voter once a learner has caught up to replace it", () => {
    const members = [
      ...five.slice(0, 4),
      member("e", { silentMs: 7_000 }),
      member("f", { isVoter: false }),
    ];
    expect(nextMembershipChange(members, RULES)).toEqual({
      kind: "remove",
      replica: "e#0000",
    });
  });

  it("lose a voter whose VM returned with an empty disk, before its new replica becomes a voter", () => {
    const members = [
      member("a", { silentMs: 500 }),
      ...five.slice(1),
      { ...member("a", { isVoter: false }), replica: "a#1111" },
    ];
    expect(nextMembershipChange(members, RULES)).toEqual({
      kind: "remove",
      replica: "a#0000",
    });
  });

  // Guards against a new leader that takes a voter which it has not heard yet for one that has been silent for ever.
  it("keep a voter that a new leader has tracked for a moment only", () => {
    const members = [
      ...five.slice(0, 4),
      member("e", { silentMs: Infinity, trackedMs: 900 }),
      member("f", { isVoter: false }),
    ];
    expect(nextMembershipChange(members, RULES)).toBeUndefined();
  });

  // Guards against a group that ends up with fewer voters, since the learner that was to replace one is lost too.
  it("keep a silent voter while the learner that caught up is silent too", () => {
    const members = [
      ...five.slice(0, 4),
      member("e", { silentMs: 7_000 }),
      member("f", { isVoter: false, silentMs: 6_500 }),
    ];
    expect(nextMembershipChange(members, RULES)).toBeUndefined();
  });

  // Guards against the removal of a sound replica by a request to join that its VM had sent before it lost its disk.
  it("keep a replica that answers when an earlier one of its VM is added after it", () => {
    const members = [
      ...five,
      { ...member("e", { isVoter: false }), replica: "e#1111" },
    ];
    const [answering, late] = [members[4]!, members[5]!];
    answering.silentMs = 90;
    Object.assign(late, { silentMs: Infinity, trackedMs: 50 });
    expect(nextMembershipChange(members, RULES)).toBeUndefined();
  });

  it("lose a learner that stays silent", () => {
    const members = [
      ...five,
      member("f", { isVoter: false, isCaughtUp: false, silentMs: 31_000 }),
    ];
    expect(nextMembershipChange(members, RULES)).toEqual({
      kind: "remove",
      replica: "f#0000",
    });
  });

  it("lose only silent members", () => {
    const view = fc.record({
      entry: fc.constantFrom("a", "b", "c", "d", "e", "f"),
      isVoter: fc.boolean(),
      isCaughtUp: fc.boolean(),
      silentMs: fc.integer({ min: 0, max: 40_000 }),
      trackedMs: fc.integer({ min: 0, max: 40_000 }),
    });
    fc.assert(fc.property(fc.array(view, { maxLength: 7 }), (views) => {
      const members = views.map((each, i) => ({
        ...each,
        replica: `${each.entry}#000${i}`,
      }));
      const change = nextMembershipChange(members, RULES);
      if (change?.kind === "remove") {
        const removed = members.find((each) => each.replica === change.replica);
        // Only a silent member may be removed.
        expect(removed?.silentMs).toBeGreaterThan(0);
      }
    }));
  });
});
