/**
 * CPU time of a placement pass on a large fleet, with and without look-ahead.
 *
 * CPU time of the process, with its garbage collector, and not elapsed time, which other work on the machine prolongs.
 *
 * @module
 */
import process from "node:process";
import {
  JobStore,
  LookAhead,
  type PlacementInput,
  type RunKey,
  runPlacementPass,
  type RunRecord,
  RunStarts,
  type StepSpec,
  type TimedRun,
  type TimedStep,
  timedStepOf,
  type Worker,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { build } from "hdr-histogram-js";
import { below, createRandom, type Random } from "../placement/random.ts";
import {
  atMost,
  type Outcome,
  type RunOptions,
  type Scenario,
} from "../scenario.ts";
import { candidatesOf } from "./fleet_load.ts";
import { newStep } from "./new_step.ts";

const WORKERS = 1_500;
const WAITING = 5_000;
const PASSES = 300;
const WARM_UP = 30;
const RACKS = 40;
/** Share of the runs that end between two passes. */
const END_SHARE = 0.01;
const PASS_MS = 50;
const MAX_PASS_MS = 50;

/** Numbers of pools: the users' five, and one in which every step sees every worker. */
const POOLS = [5, 1];

export const passCost: Scenario = {
  name: "pass-cost",
  description: "CPU time of a placement pass at 1,500 workers and 5,000 steps",
  run: benchPassCost,
};

interface Row {
  pools: number;
  lookAhead: "off" | "on";
  p50: number;
  p99: number;
  placed: number;
}

function benchPassCost(options: RunOptions): Outcome {
  const rows = POOLS.flatMap((pools) =>
    (["off", "on"] as const).map((lookAhead) =>
      measure(pools, lookAhead, options)
    )
  );
  return {
    tables: [{
      name: "CPU time of one pass, milliseconds",
      columns: ["pools", "look-ahead", "p50", "p99", "tasks placed in a pass"],
      rows: rows.map(({ pools, lookAhead, p50, p99, placed }) => [
        pools,
        lookAhead,
        p50,
        p99,
        placed,
      ]),
    }],
    checks: rows.map(({ pools, lookAhead, p99 }) =>
      atMost(`p99, ${pools} pools, look-ahead ${lookAhead}`, p99, MAX_PASS_MS)
    ),
  };
}

function measure(
  pools: number,
  lookAhead: "off" | "on",
  { seed, quick }: RunOptions,
): Row {
  const fleet = new Fleet(pools, createRandom(seed));
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const passes = quick ? WARM_UP + 20 : WARM_UP + PASSES;
  let placed = 0;
  for (let pass = 0; pass < passes; pass++) {
    const now = pass * PASS_MS;
    fleet.advance(now);
    const before = process.cpuUsage();
    const runs = fleet.pass(now, lookAhead === "on");
    const { user, system } = process.cpuUsage(before);
    if (pass >= WARM_UP) {
      histogram.recordValue(user + system);
      placed += runs.length;
    }
    fleet.place(runs, now);
  }
  return {
    pools,
    lookAhead,
    p50: histogram.getValueAtPercentile(50) / 1_000,
    p99: histogram.getValueAtPercentile(99) / 1_000,
    placed: placed / (passes - WARM_UP),
  };
}

/** A fleet whose pools are full, with a constant number of waiting steps. */
class Fleet {
  readonly #random: Random;
  readonly #pools: number;
  readonly #store = new JobStore();
  readonly #estimate = new WorkEstimate();
  readonly #starts = new RunStarts(0);
  readonly #running = new Set<RunRecord>();
  readonly #lookAhead: LookAhead;
  #jobs = 0;

  constructor(pools: number, random: Random) {
    this.#random = random;
    this.#pools = pools;
    const workers = Array.from(
      { length: WORKERS },
      (_, index): Worker => ({
        id: `w${index}`,
        pool: `p${index % pools}`,
        address: `w${index}`,
        zone: "zone",
        capacity: index % 2 === 0
          ? { cpuMilli: 16_000, memoryMb: 64_000, gpus: 0 }
          : { cpuMilli: 32_000, memoryMb: 64_000, gpus: 0 },
        labels: ["kind", `r${index % RACKS}`],
        draining: false,
        hasLeft: false,
      }),
    );
    this.#store.apply({ kind: "join", workers });
    this.#lookAhead = new LookAhead({
      estimate: this.#estimate,
      remoteFactor: 2,
      runsOn: (worker) => this.#runsOn(worker),
    });
    while (this.#store.waiting.size < 2 * WAITING) {
      this.#submit(0);
    }
    this.place(this.pass(0, false), 0);
  }

  /** Ends some runs and submits steps in their place. */
  advance(now: number): void {
    const ends = [...this.#running].filter(() => this.#random() < END_SHARE);
    ends.forEach((run) => this.#running.delete(run));
    this.#store.apply({
      kind: "settle",
      ends: ends.map(({ task, run, worker }) => {
        return { task, run, worker, how: "done", checkpoint: "" };
      }),
      dropped: [],
      atMs: now,
    });
    while (this.#store.waiting.size < WAITING) {
      this.#submit(now);
    }
  }

  pass(now: number, looksAhead: boolean): RunKey[] {
    const input: PlacementInput = {
      waiting: this.#store.waiting.values(),
      estimate: this.#estimate,
      candidates: candidatesOf(this.#store),
      isPermitted: () => true,
    };
    if (looksAhead) {
      input.lookAhead = (steps) => this.#lookAhead.begin(steps, now);
    }
    return runPlacementPass(input, now).placements.flatMap(({ runs }) => runs);
  }

  place(runs: RunKey[], now: number): void {
    this.#store.apply({ kind: "place", runs });
    for (const key of runs) {
      const run = this.#store.findRun(key);
      if (run !== undefined) {
        this.#running.add(run);
        this.#starts.record(
          run,
          timedStepOf(this.#store, run) as TimedStep,
          now,
        );
      }
    }
  }

  #submit(now: number): void {
    const random = this.#random;
    this.#jobs += 1;
    const isLarge = random() < 0.1;
    const cores = isLarge ? 8 + below(random, 13) : 1 + below(random, 4);
    const spec: StepSpec = newStep({
      taskCount: 1 + below(random, 4),
      demand: {
        cpuMilli: 1_000 * cores,
        memoryMb: cores * (500 + below(random, 2_000)),
        gpus: 0,
      },
      estimatedMs: 300 + below(random, 4_000),
      dataRack: random() < 0.2 ? `r${below(random, RACKS)}` : "",
    });
    this.#store.apply({
      kind: "submit",
      jobs: [{
        id: `j${this.#jobs}`,
        queue: "queue",
        pool: `p${this.#jobs % this.#pools}`,
        spec: { text: "", steps: [spec] },
      }],
      atMs: now,
    });
  }

  #runsOn(worker: string): TimedRun[] {
    return this.#starts.of(
      this.#store.load(worker).runs.values(),
      (run) => timedStepOf(this.#store, run),
    );
  }
}
