/**
 * One trial: a fleet under load and faults, with one policy and one seed.
 *
 * @module
 */
import type { State } from "@quetzalcove/core";
import { Cluster, type Counts, EPOCH_MS, type Policy } from "./cluster.ts";
import type { Fleet } from "./fleet.ts";
import { below, createRandom, exponential, type Random } from "./random.ts";
import { Workload } from "./workload.ts";

const STEP_MS = 100;
const TICK_MS = 500;
const MAX_MESSAGE_DELAY_MS = 20;
const MESSAGE_LOSS_SHARE = 0.001;
const MINUTE_MS = 60_000;
const SAMPLE_INTERVAL_MS = 5_000;
const RESTART_MS = 60_000;
const REBOOT_MS = 30_000;
const ELECTION_MS = 1_000;
const CANCELLED_SHARE = 0.3;
/** Share of overnight jobs that have a deadline within the trial. */
const DEADLINE_JOB_SHARE = 0.1;
/** Time of these deadlines, as a share of the trial duration. */
const DEADLINE_TIME_SHARE = 0.9;

/** Options of a trial. */
export interface TrialOptions {
  fleet: Fleet;
  seed: number;
  policy?: (random: Random) => Policy;
  clock: () => number;
}

/** Results of a trial. */
export interface Trial {
  counts: Counts;
  /** Mean share of the memory available to jobs that is actually used, over the second half of the trial. */
  memoryUse: number;
  done: number;
  moves: Record<string, number>;
  movesPerDrain: number;
  drained: number;
  /** Longest wait, in milliseconds, of an urgent job that has not started. */
  waitingUrgentMs: number;
  deadlinesMet: number;
  deadlines: number;
  quarantined: number;
}

/** Runs one trial. */
export function runTrial({ fleet, seed, policy, clock }: TrialOptions): Trial {
  const random = createRandom(seed);
  const workload = new Workload(fleet, random);
  const cluster = new Cluster({
    inventory: fleet.inventory,
    rules: fleet.rules,
    usageOf: (job) => workload.usageOf(job),
    random,
    policy: policy === undefined ? undefined : () => policy(random),
    stepMs: STEP_MS,
    tickMs: TICK_MS,
    delayMs: MAX_MESSAGE_DELAY_MS,
    loss: MESSAGE_LOSS_SHARE,
    clock,
  });
  const trialRun = new TrialRun({ fleet, cluster, workload, random });
  cluster.runUntil(fleet.durationMs, () => trialRun.advance());
  return trialRun.result();
}

interface Event {
  at: number;
  run: () => void;
}

/** Runs the scheduled load and faults of a trial, and collects its results. */
class TrialRun {
  readonly #fleet: Fleet;
  readonly #cluster: Cluster;
  readonly #workload: Workload;
  readonly #random: Random;
  readonly #deadlines: string[] = [];
  readonly #draining = new Set<string>();
  #events: Event[] = [];
  #memoryUseSamples: number[] = [];
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
    this.#scheduleArrivals("urgent", parts.fleet.urgentPerMinute);
    this.#scheduleArrivals("live", parts.fleet.livePerMinute);
    this.#scheduleFaults();
  }

  advance(): void {
    const { now } = this.#cluster;
    while ((this.#events[0]?.at ?? Infinity) <= now) {
      this.#events.shift()?.run();
    }
    if (now % SAMPLE_INTERVAL_MS === 0) {
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
    const secondHalf = this.#memoryUseSamples.slice(
      Math.floor(this.#memoryUseSamples.length / 2),
    );
    return {
      counts,
      memoryUse: secondHalf.reduce((a, b) => a + b, 0) / secondHalf.length,
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
    return EPOCH_MS + this.#fleet.durationMs * DEADLINE_TIME_SHARE;
  }

  #submitBacklog(): void {
    const count = this.#fleet.backlogPerVm * this.#fleet.inventory.vms.length;
    const jobs = Array.from({ length: count }, () => {
      const hasDeadline = this.#random() < DEADLINE_JOB_SHARE;
      return this.#workload.next(
        "overnight",
        hasDeadline ? this.#deadlineAt() : undefined,
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

  #scheduleArrivals(priority: "urgent" | "live", perMinute: number): void {
    const meanMs = MINUTE_MS / perMinute;
    let at = exponential(this.#random, meanMs);
    while (at < this.#fleet.durationMs) {
      const run = (): void => {
        this.#cluster.submit([this.#workload.next(priority)]);
      };
      this.#scheduleAt(at, run);
      at += exponential(this.#random, meanMs);
    }
  }

  #scheduleFaults(): void {
    const fleet = this.#fleet;
    this.#scheduleOnRandomVms(fleet.failures, (vm) => this.#crash(vm));
    this.#scheduleOnRandomVms(fleet.broken, (vm) => this.#makeFaulty(vm));
    this.#scheduleOnRandomVms(fleet.drains, (vm) => this.#drain(vm));
    this.#scheduleOnRandomVms(
      fleet.leaderLosses,
      () => this.#cluster.elect({ overlapMs: ELECTION_MS, gapMs: ELECTION_MS }),
    );
    this.#scheduleAt(fleet.durationMs / 2, () => this.#cancelRandomJobs());
    this.#events.sort((a, b) => a.at - b.at);
  }

  #scheduleAt(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  /** Schedules an action on random VMs at random times between 10 % and 70 % of the trial. */
  #scheduleOnRandomVms(count: number, run: (vm: string) => void): void {
    const { vms } = this.#fleet.inventory;
    for (let n = 0; n < count; n += 1) {
      const vm = vms[below(this.#random, vms.length)]?.name ?? "";
      const at = this.#fleet.durationMs * (0.1 + 0.6 * this.#random());
      this.#scheduleAt(at, () => run(vm));
    }
  }

  #scheduleAfter(delayMs: number, run: () => void): void {
    this.#scheduleAt(this.#cluster.now + delayMs, run);
    this.#events.sort((a, b) => a.at - b.at);
  }

  #crash(vm: string): void {
    const worker = this.#cluster.workers.get(vm);
    if (worker?.up === true) {
      worker.crash(this.#cluster.now);
      this.#scheduleAfter(RESTART_MS, () => worker.restart(this.#cluster.now));
    }
  }

  #makeFaulty(vm: string): void {
    const worker = this.#cluster.workers.get(vm);
    if (worker !== undefined) {
      worker.broken = true;
    }
  }

  #drain(vm: string): void {
    if (this.#changePhase(vm, "serving", "draining")) {
      this.#draining.add(vm);
    }
  }

  #finishDrains(): void {
    const { state } = this.#cluster;
    for (const vm of this.#draining) {
      if ((state.jobs.runsOn[vm] ?? 0) === 0) {
        this.#draining.delete(vm);
        this.#drained += 1;
        this.#changePhase(vm, "draining", "drained");
        this.#changePhase(vm, "drained", "rebooting");
        this.#scheduleAfter(REBOOT_MS, () => {
          this.#changePhase(vm, "rebooting", "returning");
          this.#changePhase(vm, "returning", "serving");
        });
      }
    }
  }

  #changePhase(vm: string, from: Phase, to: Phase): boolean {
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

  #cancelRandomJobs(): void {
    const ids = Object.keys(this.#cluster.state.jobs.active);
    const withDeadline = new Set(this.#deadlines);
    this.#cluster.cancel(
      ids.filter((id) =>
        !withDeadline.has(id) && this.#random() < CANCELLED_SHARE
      ),
    );
  }

  #sample(): void {
    const { state, workers } = this.#cluster;
    let usedMb = 0;
    let capacityMb = 0;
    const servicePools = new Set(
      state.rules.services.map((service) => service.pool),
    );
    for (const vm of state.inventory.vms) {
      usedMb += workers.get(vm.name)?.memoryMb ?? 0;
      const share = servicePools.has(vm.pool)
        ? 1 - state.rules.jobs.serviceShare
        : 1;
      capacityMb += vm.memoryGb * share * 1_024;
    }
    this.#memoryUseSamples.push(usedMb / capacityMb);
    const unhealthy = Object.values(state.jobs.health)
      .filter((health) => health.phase !== "healthy").length;
    this.#quarantined = Math.max(this.#quarantined, unhealthy);
  }
}

type Phase = State["vms"][string]["phase"];
