import { describe, expect, it } from "vitest";
import { ArrivalRates, DemandTurns } from "@quetzalcove/core/scheduling";
import { type DayPlan, type DayResult, playDay } from "./scheduling_day.ts";

const TICK_MS = 50;
const TURN_MS = 4_500;
const POOLS = ["intake", "charts", "alerts", "reduce"] as const;
const SEASON_MS = POOLS.length * TURN_MS;
/** Work that arrives with each tick of a turn, in core-milliseconds; 400 cores. */
const TICK_WORK = 20_000;

interface Phase {
  pool: string;
  fromMs: number;
  toMs: number;
}

/** Turns of the pools one after the other. */
function turns(count: number, turnMs: (turn: number) => number): Phase[] {
  const phases: Phase[] = [];
  let fromMs = 0;
  for (let turn = 0; turn < count; turn++) {
    const pool = POOLS[turn % POOLS.length] ?? "";
    const toMs = fromMs + turnMs(turn);
    phases.push({ pool, fromMs, toMs });
    fromMs = toMs;
  }
  return phases;
}

/** What is expected of a pool at each tick. */
function play(phases: readonly Phase[], pool: string): Map<number, number> {
  const demand = new DemandTurns();
  const expected = new Map<number, number>();
  const end = Math.max(...phases.map(({ toMs }) => toMs));
  for (let now = 0; now < end; now += TICK_MS) {
    for (const phase of phases) {
      if (now >= phase.fromMs && now < phase.toMs) {
        demand.note(phase.pool, TICK_WORK, now);
      }
    }
    expected.set(now, demand.expected(pool, now));
  }
  return expected;
}

function spanOf(expected: Map<number, number>): [number, number] | undefined {
  const times = [...expected].filter(([, cores]) => cores > 0).map(([at]) =>
    at
  );
  const [first] = times;
  return first === undefined ? undefined : [first, times.at(-1) ?? first];
}

describe("demand that rises in one pool after the other", () => {
  const twice = turns(2 * POOLS.length, () => TURN_MS);

  it("is foreseen one move before the second turn of a pool", () => {
    const [from, to] = spanOf(play(twice, "charts")) ?? [];
    const rise = SEASON_MS + TURN_MS;
    expect(from).toBeGreaterThan(rise - 2_500);
    expect(from).toBeLessThan(rise - 1_500);
    // From the rise on the arrivals tell.
    expect(to).toBeLessThan(rise + 1_500);
  });

  it("is foreseen at less than the height of the turn before", () => {
    const highest = Math.max(...play(twice, "charts").values());
    expect(highest).toBeGreaterThan(200);
    expect(highest).toBeLessThan(400);
  });

  it("is not foreseen before any pool had two turns", () => {
    const once = turns(POOLS.length, () => TURN_MS);
    for (const pool of POOLS) {
      expect(spanOf(play(once, pool))).toBeUndefined();
    }
  });

  it("is not foreseen when turns come at no regular times", () => {
    const irregular = turns(
      4 * POOLS.length,
      (turn) => turn % 5 === 0 ? 9_000 : 2_000,
    );
    const span = play(irregular, "charts");
    const spans = [...span.values()].filter((cores) => cores > 0).length;
    // Rises may agree by chance for a while; most of the time they do not.
    expect(spans / span.size).toBeLessThan(0.1);
  });

  it("is not foreseen for demand that never rises", () => {
    const steady = [{ pool: "charts", fromMs: 0, toMs: 60_000 }];
    expect(spanOf(play(steady, "charts"))).toBeUndefined();
  });

  it("does not take the first large job of a quiet pool for a turn", () => {
    const early = { pool: "alerts", fromMs: 0, toMs: 50 };
    const [from] = spanOf(play([early, ...twice], "alerts")) ?? [];
    expect(from).toBeGreaterThan(SEASON_MS);
  });
});

/** Two queues of many short jobs and two of few long ones, whose turns come again. */
const FLEET: DayPlan = {
  queues: [
    { pool: "intake", vms: 44, jobsPerSecond: 98, taskMs: 640, cores: 3.1 },
    { pool: "charts", vms: 49, jobsPerSecond: 20, taskMs: 1_300, cores: 6.7 },
    { pool: "alerts", vms: 54, jobsPerSecond: 122, taskMs: 640, cores: 3.1 },
    { pool: "reduce", vms: 60, jobsPerSecond: 25, taskMs: 1_300, cores: 6.7 },
  ].map((queue) => ({ ...queue, steps: 2, tasks: 6 })),
  standbyVms: 39,
  coresOfVm: 32,
  turnMs: TURN_MS,
  cycles: 4,
  seed: 1,
};

/** Rates that follow arrivals and foresee nothing. */
class Reactive extends ArrivalRates {
  constructor() {
    super();
    this.turns.expected = () => 0;
  }
}

describe("a fleet whose queues have their turns again and again", () => {
  const seeds = [1, 2, 3];
  const mean = (results: DayResult[], key: keyof DayResult): number =>
    results.reduce((sum, result) => sum + result[key], 0) / results.length;
  const foreseen = seeds.map((seed) => playDay({ ...FLEET, seed }));
  const reactive = seeds.map((seed) =>
    playDay({ ...FLEET, seed, rates: new Reactive() })
  );

  it("leaves a third less work late than by following arrivals alone", () => {
    expect(1 - mean(foreseen, "inTime"))
      .toBeLessThan((1 - mean(reactive, "inTime")) * 2 / 3);
  });

  it("needs hardly more VMs and moves for it", () => {
    expect(mean(foreseen, "vmSecondsForWork"))
      .toBeLessThan(1.1 * mean(reactive, "vmSecondsForWork"));
    expect(mean(foreseen, "moves")).toBeLessThan(1.1 * mean(reactive, "moves"));
  });
});
