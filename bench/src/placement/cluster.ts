/**
 * Drives the placement of one or more leaders against workers, with an explicit clock, message delays and faults.
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
  type JobDecision,
  type JobReply,
  Placement,
  type PlacementTick,
  type Rules,
  type State,
  type SubmittedJob,
  toSize,
} from "@quetzalcove/core";
import type { Random } from "./random.ts";
import { type TaskEnd, type Truth, Worker } from "./worker.ts";

/** Wall-clock time at the start of a run. */
export const EPOCH_MS = 1_800_000_000_000;
const MAX_CLOCK_DRIFT = 0.002;

/** What decides: the placement itself or a baseline. */
export interface Policy {
  report: (
    report: AgentReport,
    time: Pick<PlacementTick, "now" | "term">,
  ) => boolean;
  pass: (state: State, tick: PlacementTick) => JobDecision;
}

/** How a cluster is set up. */
export interface Setup {
  inventory: Inventory;
  rules: Rules;
  truth: (job: string) => Truth;
  random: Random;
  policy?: () => Policy;
  stepMs: number;
  tickMs: number;
  /** Longest delay of a message, in milliseconds. */
  delayMs: number;
  /** Share of messages that are lost. */
  loss: number;
  /** Measures processor time of passes. */
  clock?: () => number;
}

/** What was counted during a run. */
export interface Counts {
  doubles: number;
  passMs: number[];
  /** Time from submission to first start, of urgent jobs. */
  urgentMs: number[];
  ends: Record<string, number>;
  lostMs: number;
  quotaBreaches: number;
  otherPool: number;
  operations: number;
}

interface Leader {
  term: number;
  policy: Policy;
  state: State;
  clock: (now: number) => number;
  since: number;
  /** True time from which the leader decides. */
  electedAt: number;
  nextTick: number;
  wake: boolean;
  /** True time at which a deposed leader stops. */
  until: number;
}

/** One replicated state, its leader, and the workers. */
export class Cluster {
  readonly state: State = emptyState();
  readonly workers = new Map<string, Worker>();
  readonly counts: Counts = {
    doubles: 0,
    passMs: [],
    urgentMs: [],
    ends: {},
    lostMs: 0,
    quotaBreaches: 0,
    otherPool: 0,
    operations: 0,
  };
  now = 0;
  readonly #setup: Setup;
  readonly #live = new Map<string, string>();
  readonly #urgent = new Map<string, number>();
  readonly #cuts = new Map<string, { to: number; from: number }>();
  readonly #waiting = new Map<string, { leader: Leader; until: number }>();
  #messages: { at: number; run: () => void }[] = [];
  #leaders: Leader[] = [];
  #held = new Map<string, { leader: Leader; urgent: boolean }>();

  constructor(setup: Setup) {
    this.#setup = setup;
    for (const vm of setup.inventory.vms) {
      const size = toSize(vm);
      const clock = this.#drifting();
      const watcher = {
        truth: setup.truth,
        started: this.#started.bind(this),
        ended: this.#ended.bind(this),
      };
      this.workers.set(vm.name, new Worker(vm.name, { size, watcher, clock }));
    }
    const { inventory, rules } = setup;
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
        this.#urgent.set(job.id, this.now);
        this.#leader().wake = true;
      }
    }
    return this.#reply({ kind: "job.submit", jobs, at: this.at });
  }

  cancel(jobs: string[]): JobReply[] {
    return this.#reply({ kind: "job.cancel", jobs, at: this.at });
  }

  #reply(command: Command): JobReply[] {
    const output = this.apply(command).unwrap();
    return output.kind === "jobs" ? output.jobs : [];
  }

  /** Elects a new leader; the old one goes on for a while with the state that it knew. */
  elect({ overlapMs = 0, gapMs = 0 } = {}): void {
    const old = this.#leaders.at(-1);
    if (old !== undefined) {
      old.until = this.now + overlapMs;
      if (overlapMs > 0) {
        old.state = structuredClone(old.state);
      }
    }
    const clock = this.#drifting();
    this.#leaders.push({
      term: (old?.term ?? 0) + 1,
      policy: this.#setup.policy?.() ?? new Placement(),
      state: this.state,
      clock,
      since: clock(this.now + gapMs),
      electedAt: this.now + gapMs,
      nextTick: this.now + gapMs,
      wake: false,
      until: Infinity,
    });
  }

  /** Cuts messages to and from a VM for the given times. */
  cut(vm: string, { toMs, fromMs }: { toMs: number; fromMs: number }): void {
    this.#cuts.set(vm, { to: this.now + toMs, from: this.now + fromMs });
  }

  /** Goes on by one step. */
  step(): void {
    this.now += this.#setup.stepMs;
    const due = this.#messages.filter((message) => message.at <= this.now);
    this.#messages = this.#messages.filter((m) => m.at > this.now);
    for (const message of due) {
      message.run();
    }
    for (const worker of this.workers.values()) {
      worker.advance(this.now);
    }
    this.#answerHeld();
    this.#leaders = this.#leaders.filter((leader) => leader.until > this.now);
    for (const leader of this.#leaders) {
      const due = leader.wake || this.now >= leader.nextTick;
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

  #pass(leader: Leader): void {
    leader.wake = false;
    leader.nextTick = this.now + this.#setup.tickMs;
    const tick = {
      now: leader.clock(this.now),
      at: this.at,
      term: leader.term,
      since: leader.since,
    };
    const begin = this.#setup.clock?.() ?? 0;
    const { command, operations, urgent } = leader.policy.pass(
      leader.state,
      tick,
    );
    // A deposed leader works on a copy of the state, whose index is built anew only here.
    if (leader.until === Infinity) {
      this.counts.passMs.push((this.#setup.clock?.() ?? 0) - begin);
    }
    for (const operation of operations) {
      this.#sendOperation(leader, operation);
    }
    if (command !== undefined) {
      this.#post(() => {
        if (leader.until === Infinity && this.apply(command).ok) {
          leader.wake ||= urgent;
          this.#checkQuotas();
        }
      });
    }
  }

  #sendOperation(leader: Leader, operation: AgentOperation): void {
    this.counts.operations += 1;
    const worker = this.workers.get(operation.vm);
    const lost = (this.#cuts.get(operation.vm)?.to ?? 0) > this.now ||
      this.#setup.random() < this.#setup.loss;
    if (worker === undefined || lost) {
      return;
    }
    this.#post(() => {
      const leaves = operation.kind === "stop" ||
        (operation.kind === "checkpoint" && operation.stop);
      if (leaves) {
        this.#held.set(operation.run, { leader, urgent: operation.urgent });
      }
      const report = worker.handle(operation, this.now);
      const waitMs = operation.kind === "renew" ? operation.waitMs : 0;
      if (waitMs > 0 && worker.up && !worker.hasEnded) {
        const until = this.now + waitMs;
        this.#waiting.set(operation.vm, { leader, until });
        return;
      }
      if (report !== undefined) {
        this.#answer(leader, report, operation.urgent);
      }
    });
  }

  /** Answers renewals that were held back until a run ended or their time was over. */
  #answerHeld(): void {
    for (const [vm, { leader, until }] of this.#waiting) {
      const worker = this.workers.get(vm);
      if (worker?.up !== true) {
        this.#waiting.delete(vm);
      } else if (worker.hasEnded || until <= this.now) {
        this.#waiting.delete(vm);
        this.#answer(leader, worker.report(this.now), false);
      }
    }
  }

  #answer(leader: Leader, report: AgentReport, urgent: boolean): void {
    const lost = (this.#cuts.get(report.vm)?.from ?? 0) > this.now ||
      this.#setup.random() < this.#setup.loss;
    if (!lost) {
      this.#post(() => {
        const { term } = leader;
        leader.policy.report(report, { now: leader.clock(this.now), term });
        leader.wake ||= urgent;
      });
    }
  }

  #post(run: () => void): void {
    const { random, delayMs } = this.#setup;
    this.#messages.push({ at: this.now + random() * delayMs, run });
  }

  #started(vm: string, job: string): void {
    if (this.#live.has(job)) {
      this.counts.doubles += 1;
    }
    this.#live.set(job, vm);
    const pool = this.state.vms[vm]?.pool;
    const wanted = this.state.jobs.active[job]?.pool;
    this.counts.otherPool += wanted !== undefined && wanted !== pool ? 1 : 0;
    const submitted = this.#urgent.get(job);
    if (submitted !== undefined) {
      this.#urgent.delete(job);
      this.counts.urgentMs.push(this.now - submitted);
    }
  }

  #ended(vm: string, job: string, end: TaskEnd): void {
    this.#live.delete(job);
    this.counts.ends[end.outcome] = (this.counts.ends[end.outcome] ?? 0) + 1;
    this.counts.lostMs += end.lostMs;
    const held = this.#held.get(end.run);
    const worker = this.workers.get(vm);
    if (held !== undefined && worker !== undefined) {
      this.#held.delete(end.run);
      this.#post(() => {
        if (worker.up) {
          this.#answer(held.leader, worker.report(this.now), held.urgent);
        }
      });
    }
  }

  /** Why a job is where it is, as the present leader sees it. */
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

  /** Urgent jobs that have not started, with the time since their submission. */
  waitingUrgent(): [string, number][] {
    return [...this.#urgent].map(([job, at]) => [job, this.now - at]);
  }

  #checkQuotas(): void {
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

  #leader(): Leader {
    const leader = this.#leaders.at(-1);
    if (leader === undefined) {
      throw new Error("The cluster has no leader");
    }
    return leader;
  }

  /** A clock with its own origin and rate. */
  #drifting(): (now: number) => number {
    const { random } = this.#setup;
    const origin = Math.round(random() * 1e9);
    const rate = 1 + (2 * random() - 1) * MAX_CLOCK_DRIFT;
    return (now) => origin + now * rate;
  }
}
