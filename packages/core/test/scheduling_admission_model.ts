/**
 * Model of one full pool that customers share. It runs the code of core for admission and placement; workers are timers,
 * and there are no processes and no network.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  CandidateWorker,
  type Customer,
  CustomerAdmission,
  isLate,
  JobStore,
  PoolBacklogs,
  type RunKey,
  runPlacementPass,
  startSlackMs,
  type SubmittedJob,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { queue, spec, step, worker } from "./scheduling_fixture.ts";

/** A customer and its load. */
export interface CustomerLoad {
  name: string;
  weight: number;
  /** Submissions per second at a time in milliseconds. */
  rate: (now: number) => number;
}

export interface AdmissionModelConfig {
  loads: readonly CustomerLoad[];
  workers: number;
  durationMs: number;
  seed: number;
  hasAdmission: boolean;
  /** Time at which another leader takes over, which knows no rates and no durations. */
  leaderChangeAtMs?: number;
}

export interface CustomerResult {
  submitted: number;
  accepted: number;
  /** Times of the refusals, in milliseconds. */
  refusedAt: number[];
  /** Times at which refused callers try again. */
  retryAt: number[];
  /** Accepted jobs that started after the latest time that meets their objective, or not at all. */
  late: number;
  /** Time from submission to start of each started job, in milliseconds. */
  delaysMs: number[];
}

const STEP_MS = 10;
const PASS_MS = 20;
const REFRESH_MS = 100;
const GUESS_MS = 500;
const CORES_OF_WORKER = 16;

/** Sixteen cores of a worker run four jobs of half a second at a time. */
export const JOBS_PER_WORKER_AND_SECOND = 8;

const QUEUE = queue({ slackFactor: 1.6, targetLatencyMs: 600 });
const JOB = spec(step({
  demand: { cpuMilli: 4_000, memoryMb: 100, gpus: 0 },
  estimatedMs: GUESS_MS,
}));

interface Attempt {
  at: number;
  load: CustomerLoad;
  id: string;
}

export function runAdmissionModel(
  config: AdmissionModelConfig,
): Map<string, CustomerResult> {
  return new AdmissionModel(config).run();
}

class AdmissionModel {
  readonly #config: AdmissionModelConfig;
  readonly #results = new Map<string, CustomerResult>();
  readonly #jobStore = new JobStore();
  readonly #random: () => number;
  readonly #running: { key: RunKey; endsAt: number; tookMs: number }[] = [];
  #attempts: Attempt[] = [];
  #estimate = new WorkEstimate();
  #admission = new CustomerAdmission(-Infinity);
  #backlogs = new PoolBacklogs(this.#estimate);

  constructor(config: AdmissionModelConfig) {
    this.#config = config;
    const random = xoroshiro128plus(config.seed);
    this.#random = () => uniformFloat64(random);
    const customers = config.loads.map(({ name, weight }): Customer => ({
      name,
      weight,
      keyDigests: [],
      cap: { cpuMilli: 0, memoryMb: 0, gpus: 0 },
    }));
    this.#jobStore.apply({
      kind: "plan",
      plan: {
        version: 1,
        queues: [QUEUE],
        pools: [{ name: "intake", enforcesCapacity: true, standby: false }],
        customers,
        source: "{}",
      },
    });
    this.#jobStore.apply({
      kind: "join",
      workers: Array.from(
        { length: config.workers },
        (_, i) =>
          worker(`w${i}`, {
            capacity: {
              cpuMilli: CORES_OF_WORKER * 1_000,
              memoryMb: 16_000,
              gpus: 0,
            },
          }),
      ),
    });
    for (const load of config.loads) {
      this.#results.set(load.name, {
        submitted: 0,
        accepted: 0,
        refusedAt: [],
        retryAt: [],
        late: 0,
        delaysMs: [],
      });
      this.#scheduleNext(load, 0);
    }
  }

  run(): Map<string, CustomerResult> {
    const { durationMs, leaderChangeAtMs } = this.#config;
    for (let now = 0; now < durationMs; now += STEP_MS) {
      if (now === leaderChangeAtMs) {
        this.#estimate = new WorkEstimate();
        this.#admission = new CustomerAdmission(now);
        this.#backlogs = new PoolBacklogs(this.#estimate);
      }
      this.#endRuns(now);
      const due = this.#attempts.filter(({ at }) => at <= now);
      this.#attempts = this.#attempts.filter(({ at }) => at > now);
      due.forEach((attempt) => this.#submit(attempt, now));
      if (now % REFRESH_MS === 0) {
        this.#backlogs.refresh(
          this.#jobStore,
          new Map([["intake", [...this.#jobStore.workers.values()]]]),
          now,
        );
      }
      if (now % PASS_MS === 0) {
        this.#place(now);
      }
    }
    for (const step of this.#jobStore.waiting.values()) {
      const result = this.#results.get(step.job.customer ?? "");
      if (result !== undefined && isLate(step, this.#estimate, durationMs)) {
        result.late += 1;
      }
    }
    return this.#results;
  }

  /** Schedules the next new job of a customer, after an exponentially distributed time. */
  #scheduleNext(load: CustomerLoad, now: number): void {
    const rate = load.rate(now);
    const gapMs = rate === 0
      ? 100
      : -Math.log(1 - this.#random()) / rate * 1_000;
    const { submitted } = this.#resultOf(load);
    this.#attempts.push({
      at: now + gapMs,
      load,
      id: rate === 0 ? "" : `${load.name}-${submitted}-${Math.round(now)}`,
    });
  }

  #submit({ at, load, id }: Attempt, now: number): void {
    const isRetry = id.startsWith("retry ");
    if (!isRetry) {
      this.#scheduleNext(load, at);
    }
    if (id === "") {
      return;
    }
    const result = this.#resultOf(load);
    result.submitted += isRetry ? 0 : 1;
    const job: SubmittedJob = {
      id: id.replace("retry ", ""),
      queue: QUEUE.name,
      pool: "intake",
      customer: load.name,
      spec: JOB,
    };
    const decision = this.#config.hasAdmission
      ? this.#admission.decide(
        {
          customer: load,
          pool: "intake",
          slackMs: startSlackMs(job, QUEUE, this.#estimate, now),
        },
        {
          waitMs: this.#backlogs.waitMs("intake", load.name, now),
          drainMs: this.#backlogs.drainMs(job),
        },
        now,
      )
      : { kind: "accept" as const };
    if (decision.kind === "accept") {
      result.accepted += 1;
      this.#jobStore.apply({ kind: "submit", jobs: [job], atMs: now });
      this.#backlogs.addJob(job);
      return;
    }
    result.refusedAt.push(now);
    // Callers wait whole seconds, rounded up.
    const retryAt = now + Math.ceil(decision.retryAfterMs / 1_000) * 1_000;
    result.retryAt.push(retryAt);
    this.#attempts.push({
      at: retryAt,
      load,
      id: isRetry ? id : `retry ${id}`,
    });
  }

  #place(now: number): void {
    const candidates = [...this.#jobStore.workers.values()].map((of) =>
      new CandidateWorker(of, this.#jobStore.load(of.id))
    );
    const { placements } = runPlacementPass({
      waiting: this.#jobStore.waiting.values(),
      estimate: this.#estimate,
      candidates: new Map([["intake", candidates]]),
      isPermitted: () => true,
    }, now);
    for (const { step: placed, runs } of placements) {
      const { job } = placed;
      const result = this.#results.get(job.customer ?? "");
      result?.delaysMs.push(now - job.acceptedAtMs);
      if (result !== undefined && isLate(placed, this.#estimate, now)) {
        result.late += 1;
      }
      this.#backlogs.recordStart(job, placed.spec, runs.length, now);
      for (const key of runs) {
        const tookMs = GUESS_MS * (0.5 + this.#random());
        this.#running.push({ key, endsAt: now + tookMs, tookMs });
      }
    }
    const runs = placements.flatMap((placement) => placement.runs);
    this.#jobStore.apply({ kind: "place", runs });
  }

  #endRuns(now: number): void {
    for (let i = this.#running.length - 1; i >= 0; i--) {
      const run = this.#running[i];
      if (run !== undefined && run.endsAt <= now) {
        this.#running.splice(i, 1);
        this.#estimate.observe(QUEUE.name, GUESS_MS, run.tookMs);
        this.#jobStore.apply({
          kind: "settle",
          ends: [{ ...run.key, how: "done", checkpoint: "" }],
          dropped: [],
          atMs: now,
        });
      }
    }
  }

  #resultOf(load: CustomerLoad): CustomerResult {
    const result = this.#results.get(load.name);
    if (result === undefined) {
      throw new Error(`no result of ${load.name}`);
    }
    return result;
  }
}
