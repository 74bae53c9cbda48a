/**
 * Simulates the placement of one or more leaders against workers, with a simulated clock, message delays and faults.
 *
 * @module
 */
import {
  type AgentOperation,
  type AgentReport,
  apply,
  type Command,
  emptyState,
  type Explanation,
  type Inventory,
  type JobReply,
  Placement,
  type PlacementDecision,
  type PlacementTick,
  type Rules,
  type State,
  type SubmittedJob,
  toSize,
} from "@quetzalcove/core";
import type { Random } from "./random.ts";
import { type ActualUsage, type TaskEnd, Worker } from "./worker.ts";

/** Wall-clock time at the start of a simulation. */
export const EPOCH_MS = 1_800_000_000_000;
const MAX_CLOCK_DRIFT = 0.002;

/** A placement policy: the product's placement or a baseline. */
export interface Policy {
  report: (
    report: AgentReport,
    time: Pick<PlacementTick, "now" | "term">,
  ) => boolean;
  pass: (state: State, tick: PlacementTick) => PlacementDecision;
}

/** Options of a simulated cluster. */
export interface SimulationOptions {
  inventory: Inventory;
  rules: Rules;
  usageOf: (job: string) => ActualUsage;
  random: Random;
  policy?: () => Policy;
  stepMs: number;
  tickMs: number;
  /** Longest delay of a message, in milliseconds. */
  delayMs: number;
  /** Share of messages that are lost. */
  loss: number;
  /** Measures the duration of placement passes. */
  clock?: () => number;
}

/** Counters of a simulation. */
export interface Counts {
  duplicateRuns: number;
  passMs: number[];
  /** Time from submission to first start, of urgent jobs. */
  urgentMs: number[];
  ends: Record<string, number>;
  lostMs: number;
  quotaBreaches: number;
  wrongPoolStarts: number;
  operations: number;
}

interface SimulatedLeader {
  term: number;
  policy: Policy;
  state: State;
  clock: (now: number) => number;
  /** Time of its election on its own clock. */
  since: number;
  /** Simulated time from which the leader decides. */
  electedAt: number;
  nextPassAt: number;
  isPassRequested: boolean;
  /** Simulated time at which a deposed leader stops. */
  until: number;
}

/** The replicated state, its leaders, and the workers. */
export class Cluster {
  readonly state: State = emptyState();
  readonly workers = new Map<string, Worker>();
  readonly counts: Counts = {
    duplicateRuns: 0,
    passMs: [],
    urgentMs: [],
    ends: {},
    lostMs: 0,
    quotaBreaches: 0,
    wrongPoolStarts: 0,
    operations: 0,
  };
  now = 0;
  readonly #options: SimulationOptions;
  readonly #runningJobs = new Map<string, string>();
  readonly #unstartedUrgent = new Map<string, number>();
  readonly #outages = new Map<string, { to: number; from: number }>();
  readonly #pendingRenewals = new Map<
    string,
    { leader: SimulatedLeader; until: number }
  >();
  #messages: { at: number; deliver: () => void }[] = [];
  #leaders: SimulatedLeader[] = [];
  #pendingStops = new Map<
    string,
    { leader: SimulatedLeader; urgent: boolean }
  >();

  constructor(options: SimulationOptions) {
    this.#options = options;
    for (const vm of options.inventory.vms) {
      const size = toSize(vm);
      const clock = this.#createDriftingClock();
      const listener = {
        usageOf: options.usageOf,
        started: this.#started.bind(this),
        ended: this.#ended.bind(this),
      };
      this.workers.set(vm.name, new Worker(vm.name, { size, listener, clock }));
    }
    const { inventory, rules } = options;
    this.apply({
      kind: "configure",
      change: "first",
      base: 0,
      inventory,
      rules,
      at: EPOCH_MS,
    });
    this.elect();
  }

  /** Wall-clock time. */
  get at(): number {
    return EPOCH_MS + this.now;
  }

  /** Applies a command as the log would. */
  apply(command: Command): ReturnType<typeof apply> {
    return apply(this.state, command);
  }

  submit(jobs: SubmittedJob[]): JobReply[] {
    for (const job of jobs) {
      if (job.priority === "urgent") {
        this.#unstartedUrgent.set(job.id, this.now);
        this.#leader().isPassRequested = true;
      }
    }
    return this.#applyJobCommand({ kind: "job.submit", jobs, at: this.at });
  }

  cancel(jobs: string[]): JobReply[] {
    return this.#applyJobCommand({ kind: "job.cancel", jobs, at: this.at });
  }

  #applyJobCommand(command: Command): JobReply[] {
    const output = this.apply(command).unwrap();
    return output.kind === "jobs" ? output.jobs : [];
  }

  /** Elects a leader that starts deciding after `gapMs`; the old one decides on a copy of the state for `overlapMs`. */
  elect({ overlapMs = 0, gapMs = 0 } = {}): void {
    const old = this.#leaders.at(-1);
    if (old !== undefined) {
      old.until = this.now + overlapMs;
      if (overlapMs > 0) {
        old.state = structuredClone(old.state);
      }
    }
    const clock = this.#createDriftingClock();
    this.#leaders.push({
      term: (old?.term ?? 0) + 1,
      policy: this.#options.policy?.() ?? new Placement(),
      state: this.state,
      clock,
      since: clock(this.now + gapMs),
      electedAt: this.now + gapMs,
      nextPassAt: this.now + gapMs,
      isPassRequested: false,
      until: Infinity,
    });
  }

  /** Drops messages to and from a VM for the given times. */
  dropMessages(
    vm: string,
    { toMs, fromMs }: { toMs: number; fromMs: number },
  ): void {
    this.#outages.set(vm, { to: this.now + toMs, from: this.now + fromMs });
  }

  /** Advances the simulation by one step. */
  step(): void {
    this.now += this.#options.stepMs;
    const due = this.#messages.filter((message) => message.at <= this.now);
    this.#messages = this.#messages.filter((m) => m.at > this.now);
    for (const message of due) {
      message.deliver();
    }
    for (const worker of this.workers.values()) {
      worker.advance(this.now);
    }
    this.#answerPendingRenewals();
    this.#leaders = this.#leaders.filter((leader) => leader.until > this.now);
    for (const leader of this.#leaders) {
      const due = leader.isPassRequested || this.now >= leader.nextPassAt;
      if (due && this.now >= leader.electedAt) {
        this.#pass(leader);
      }
    }
  }

  /** Runs until the given time. */
  runUntil(end: number, each: () => void = () => {}): void {
    while (this.now < end) {
      each();
      this.step();
    }
  }

  #pass(leader: SimulatedLeader): void {
    leader.isPassRequested = false;
    leader.nextPassAt = this.now + this.#options.tickMs;
    const tick = {
      now: leader.clock(this.now),
      at: this.at,
      term: leader.term,
      since: leader.since,
    };
    const startedAt = this.#options.clock?.() ?? 0;
    const { command, operations, urgent } = leader.policy.pass(
      leader.state,
      tick,
    );
    // Passes of a deposed leader are not measured: its job index is rebuilt for the copied state, only in simulations.
    if (leader.until === Infinity) {
      this.counts.passMs.push((this.#options.clock?.() ?? 0) - startedAt);
    }
    for (const operation of operations) {
      this.#sendOperation(leader, operation);
    }
    if (command !== undefined) {
      this.#deliverLater(() => {
        if (leader.until === Infinity && this.apply(command).ok) {
          leader.isPassRequested ||= urgent;
          this.#countQuotaBreaches();
        }
      });
    }
  }

  #sendOperation(leader: SimulatedLeader, operation: AgentOperation): void {
    this.counts.operations += 1;
    const worker = this.workers.get(operation.vm);
    const isLost = (this.#outages.get(operation.vm)?.to ?? 0) > this.now ||
      this.#options.random() < this.#options.loss;
    if (worker === undefined || isLost) {
      return;
    }
    this.#deliverLater(() => {
      const isStopping = operation.kind === "stop" ||
        (operation.kind === "checkpoint" && operation.stop);
      if (isStopping) {
        this.#pendingStops.set(operation.run, {
          leader,
          urgent: operation.urgent,
        });
      }
      const report = worker.handle(operation, this.now);
      const waitMs = operation.kind === "renew" ? operation.waitMs : 0;
      if (waitMs > 0 && worker.up && !worker.hasUnacknowledgedEnd) {
        const until = this.now + waitMs;
        this.#pendingRenewals.set(operation.vm, { leader, until });
        return;
      }
      if (report !== undefined) {
        this.#deliverReport(leader, report, operation.urgent);
      }
    });
  }

  /** Answers pending long-polled renewals whose worker has an ended run or whose wait is over. */
  #answerPendingRenewals(): void {
    for (const [vm, { leader, until }] of this.#pendingRenewals) {
      const worker = this.workers.get(vm);
      if (worker?.up !== true) {
        this.#pendingRenewals.delete(vm);
      } else if (worker.hasUnacknowledgedEnd || until <= this.now) {
        this.#pendingRenewals.delete(vm);
        this.#deliverReport(leader, worker.report(this.now), false);
      }
    }
  }

  #deliverReport(
    leader: SimulatedLeader,
    report: AgentReport,
    urgent: boolean,
  ): void {
    const isLost = (this.#outages.get(report.vm)?.from ?? 0) > this.now ||
      this.#options.random() < this.#options.loss;
    if (!isLost) {
      this.#deliverLater(() => {
        const { term } = leader;
        leader.policy.report(report, { now: leader.clock(this.now), term });
        leader.isPassRequested ||= urgent;
      });
    }
  }

  #deliverLater(deliver: () => void): void {
    const { random, delayMs } = this.#options;
    this.#messages.push({ at: this.now + random() * delayMs, deliver });
  }

  #started(vm: string, job: string): void {
    if (this.#runningJobs.has(job)) {
      this.counts.duplicateRuns += 1;
    }
    this.#runningJobs.set(job, vm);
    const pool = this.state.vms[vm]?.pool;
    const requiredPool = this.state.jobs.active[job]?.pool;
    this.counts.wrongPoolStarts +=
      requiredPool !== undefined && requiredPool !== pool ? 1 : 0;
    const submittedAt = this.#unstartedUrgent.get(job);
    if (submittedAt !== undefined) {
      this.#unstartedUrgent.delete(job);
      this.counts.urgentMs.push(this.now - submittedAt);
    }
  }

  #ended(vm: string, job: string, end: TaskEnd): void {
    this.#runningJobs.delete(job);
    this.counts.ends[end.outcome] = (this.counts.ends[end.outcome] ?? 0) + 1;
    this.counts.lostMs += end.lostMs;
    const pendingStop = this.#pendingStops.get(end.run);
    const worker = this.workers.get(vm);
    if (pendingStop !== undefined && worker !== undefined) {
      this.#pendingStops.delete(end.run);
      this.#deliverLater(() => {
        if (worker.up) {
          this.#deliverReport(
            pendingStop.leader,
            worker.report(this.now),
            pendingStop.urgent,
          );
        }
      });
    }
  }

  /** Explains the state of a job from the current leader's point of view. */
  explain(job: string): Explanation {
    const leader = this.#leader();
    const { policy, term, since } = leader;
    if (!(policy instanceof Placement)) {
      return { job, state: "unknown", reason: "The policy does not explain" };
    }
    const now = leader.clock(this.now);
    const tick = { now, at: this.at, term, since };
    return policy.explain(this.state, { job, tick });
  }

  /** Urgent jobs that have not started, with the milliseconds since their submission. */
  waitingUrgent(): [string, number][] {
    return [...this.#unstartedUrgent].map(([job, at]) => [job, this.now - at]);
  }

  #countQuotaBreaches(): void {
    for (const team of this.state.rules.teams) {
      const held = this.state.jobs.held[team.name];
      const quota = toSize(team);
      const exceeded = held !== undefined &&
        (held.memoryMb > quota.memoryMb ||
          held.millicores > quota.millicores ||
          held.accelerators > quota.accelerators);
      this.counts.quotaBreaches += exceeded ? 1 : 0;
    }
  }

  #leader(): SimulatedLeader {
    const leader = this.#leaders.at(-1);
    if (leader === undefined) {
      throw new Error("The cluster has no leader");
    }
    return leader;
  }

  /** A clock with its own origin and rate. */
  #createDriftingClock(): (now: number) => number {
    const { random } = this.#options;
    const origin = Math.round(random() * 1e9);
    const rate = 1 + (2 * random() - 1) * MAX_CLOCK_DRIFT;
    return (now) => origin + now * rate;
  }
}
