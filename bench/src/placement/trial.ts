/**
 * One trial: a fleet under load and faults, with one policy and one seed.
 *
 * @module
 */
import type { State } from "@quetzalcove/core";
import { Cluster, type Counts, EPOCH_MS, type Policy } from "./cluster.ts";
import type { Fleet } from "./fleet.ts";
import { below, exponential, type Random, seeded } from "./random.ts";
import { Workload } from "./workload.ts";

const STEP_MS = 100;
const TICK_MS = 500;
const DELAY_MS = 20;
const LOSS = 0.001;
const MINUTE_MS = 60_000;
const SAMPLE_MS = 5_000;
const RESTART_MS = 60_000;
const REBOOT_MS = 30_000;
const ELECTION_MS = 1_000;
const CANCELLED_SHARE = 0.3;
/** Share of the overnight jobs that have a deadline within the trial. */
const DEADLINE_SHARE = 0.1;
const DEADLINE_AT = 0.9;

/** How a trial is run. */
export interface TrialPlan {
  fleet: Fleet;
  seed: number;
  policy?: (random: Random) => Policy;
  clock: () => number;
}

/** What a trial measured. */
export interface Trial {
  counts: Counts;
  /** Mean share of the memory open to jobs that is really used. */
  memoryUse: number;
  done: number;
  moves: Record<string, number>;
  movesPerDrain: number;
  drained: number;
  /** Longest wait of an urgent job that has not started. */
  waitingUrgentMs: number;
  deadlinesMet: number;
  deadlines: number;
  quarantined: number;
}

/** Runs one trial. */
export function runTrial({ fleet, seed, policy, clock }: TrialPlan): Trial {
  const random = seeded(seed);
  const workload = new Workload(fleet, random);
  const cluster = new Cluster({
    inventory: fleet.inventory,
    rules: fleet.rules,
    truth: (job) => workload.truth(job),
    random,
    policy: policy === undefined ? undefined : () => policy(random),
    stepMs: STEP_MS,
    tickMs: TICK_MS,
    delayMs: DELAY_MS,
    loss: LOSS,
    clock,
  });
  const course = new Course({ fleet, cluster, workload, random });
  cluster.runUntil(fleet.durationMs, () => course.advance());
  return course.result();
}

interface Event {
  at: number;
  run: () => void;
}

/** The load and the faults of a trial, in order of time. */
class Course {
  readonly #fleet: Fleet;
  readonly #cluster: Cluster;
  readonly #workload: Workload;
  readonly #random: Random;
  readonly #deadlines: string[] = [];
  readonly #draining = new Set<string>();
  #events: Event[] = [];
  #used: number[] = [];
  #drained = 0;
  #quarantined = 0;

  constructor(
    parts: {
      fleet: Fleet;
      cluster: Cluster;
      workload: Workload;
      random: Random;
    },
  ) {
    this.#fleet = parts.fleet;
    this.#cluster = parts.cluster;
    this.#workload = parts.workload;
    this.#random = parts.random;
    this.#submitBacklog();
    this.#arrive("urgent", parts.fleet.urgentPerMinute);
    this.#arrive("live", parts.fleet.livePerMinute);
    this.#plan();
  }

  advance(): void {
    const { now } = this.#cluster;
    while ((this.#events[0]?.at ?? Infinity) <= now) {
      this.#events.shift()?.run();
    }
    if (now % SAMPLE_MS === 0) {
      this.#sample();
    }
    this.#finishDrains();
  }

  result(): Trial {
    const { state, counts } = this.#cluster;
    const waits = this.#cluster.waitingUrgent().map(([, wait]) => wait);
    const met = this.#deadlines.filter((id) =>
      (state.jobs.ended[id]?.at ?? Infinity) <= this.#deadlineAt()
    );
    const half = this.#used.slice(Math.floor(this.#used.length / 2));
    return {
      counts,
      memoryUse: half.reduce((a, b) => a + b, 0) / half.length,
      done: counts.ends.done ?? 0,
      moves: state.jobs.moves,
      movesPerDrain: (state.jobs.moves.drain ?? 0) / Math.max(1, this.#drained),
      drained: this.#drained,
      waitingUrgentMs: Math.max(0, ...waits),
      deadlinesMet: met.length,
      deadlines: this.#deadlines.length,
      quarantined: this.#quarantined,
    };
  }

  #deadlineAt(): number {
    return EPOCH_MS + this.#fleet.durationMs * DEADLINE_AT;
  }

  #submitBacklog(): void {
    const count = this.#fleet.backlogPerVm * this.#fleet.inventory.vms.length;
    const jobs = Array.from({ length: count }, () => {
      const dated = this.#random() < DEADLINE_SHARE;
      return this.#workload.next(
        "overnight",
        dated ? this.#deadlineAt() : undefined,
      );
    });
    for (let from = 0; from < jobs.length; from += 5_000) {
      const batch = jobs.slice(from, from + 5_000);
      const replies = this.#cluster.submit(batch);
      batch.forEach((job, n) => {
        if (job.deadline !== undefined && replies[n]?.state === "waiting") {
          this.#deadlines.push(job.id);
        }
      });
    }
  }

  #arrive(priority: "urgent" | "live", perMinute: number): void {
    const meanMs = MINUTE_MS / perMinute;
    let at = exponential(this.#random, meanMs);
    while (at < this.#fleet.durationMs) {
      const run = (): void => {
        this.#cluster.submit([this.#workload.next(priority)]);
      };
      this.#at(at, run);
      at += exponential(this.#random, meanMs);
    }
  }

  #plan(): void {
    const fleet = this.#fleet;
    this.#often(fleet.failures, (vm) => this.#fail(vm));
    this.#often(fleet.broken, (vm) => this.#break(vm));
    this.#often(fleet.drains, (vm) => this.#drain(vm));
    this.#often(
      fleet.leaderLosses,
      () => this.#cluster.elect({ overlapMs: ELECTION_MS, gapMs: ELECTION_MS }),
    );
    this.#at(fleet.durationMs / 2, () => this.#cancelWave());
    this.#events.sort((a, b) => a.at - b.at);
  }

  #at(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  /** Does something to random VMs at random times in the middle of the trial. */
  #often(count: number, run: (vm: string) => void): void {
    const { vms } = this.#fleet.inventory;
    for (let n = 0; n < count; n += 1) {
      const vm = vms[below(this.#random, vms.length)]?.name ?? "";
      const at = this.#fleet.durationMs * (0.1 + 0.6 * this.#random());
      this.#at(at, () => run(vm));
    }
  }

  #later(delayMs: number, run: () => void): void {
    this.#at(this.#cluster.now + delayMs, run);
    this.#events.sort((a, b) => a.at - b.at);
  }

  #fail(vm: string): void {
    const worker = this.#cluster.workers.get(vm);
    if (worker?.up === true) {
      worker.crash(this.#cluster.now);
      this.#later(RESTART_MS, () => worker.restart(this.#cluster.now));
    }
  }

  #break(vm: string): void {
    const worker = this.#cluster.workers.get(vm);
    if (worker !== undefined) {
      worker.broken = true;
    }
  }

  #drain(vm: string): void {
    if (this.#phase(vm, "serving", "draining")) {
      this.#draining.add(vm);
    }
  }

  #finishDrains(): void {
    const { state } = this.#cluster;
    for (const vm of this.#draining) {
      if ((state.jobs.runsOn[vm] ?? 0) === 0) {
        this.#draining.delete(vm);
        this.#drained += 1;
        this.#phase(vm, "draining", "drained");
        this.#phase(vm, "drained", "rebooting");
        this.#later(REBOOT_MS, () => {
          this.#phase(vm, "rebooting", "returning");
          this.#phase(vm, "returning", "serving");
        });
      }
    }
  }

  #phase(vm: string, from: Phase, to: Phase): boolean {
    const at = this.#cluster.at;
    const command = {
      kind: "vm.phase",
      vm,
      from,
      to,
      reason: "wave",
      at,
    } as const;
    return this.#cluster.apply(command).ok;
  }

  #cancelWave(): void {
    const ids = Object.keys(this.#cluster.state.jobs.active);
    const dated = new Set(this.#deadlines);
    this.#cluster.cancel(
      ids.filter((id) => !dated.has(id) && this.#random() < CANCELLED_SHARE),
    );
  }

  #sample(): void {
    const { state, workers } = this.#cluster;
    let used = 0;
    let size = 0;
    const shared = new Set(state.rules.services.map((service) => service.pool));
    for (const vm of state.inventory.vms) {
      used += workers.get(vm.name)?.memoryMb ?? 0;
      const share = shared.has(vm.pool) ? 1 - state.rules.jobs.serviceShare : 1;
      size += vm.memoryGb * share * 1_024;
    }
    this.#used.push(used / size);
    const out = Object.values(state.jobs.health)
      .filter((health) => health.phase !== "healthy").length;
    this.#quarantined = Math.max(this.#quarantined, out);
  }
}

type Phase = State["vms"][string]["phase"];
