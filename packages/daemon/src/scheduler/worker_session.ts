/**
 * Session of a leader with one worker: renews its lease, sends it orders and commits the run ends that it lists.
 *
 * @module
 */
import {
  type Listing,
  parseTaskName,
  PROBATION_MS,
  type RunEnd,
  type RunEvidence,
  type RunKey,
  type RunOutcome,
  type RunRecord,
  RunSurvival,
  type StartAnswer,
  stepName,
  type Worker,
  type WorkerHealth,
  WorkerOrders,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import { wait } from "../waiting.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import { WorkerLease } from "./worker_lease.ts";
import { Pacer } from "./pacer.ts";
import type { RenewalAnswer, WorkerClient } from "./platform_clients.ts";
import type { RunEndBatcher } from "./run_end_batcher.ts";
import type { SchedulerSettings } from "@quetzalcove/core/scheduling";
import { StragglerDetector } from "./straggler_detector.ts";

/** Dependencies that all sessions of a leadership term share. */
export interface WorkerSessionParts {
  settings: SchedulerSettings["workers"];
  term: number;
  consensus: JobConsensus;
  /** Commits the run ends that workers list. */
  runEndBatcher: RunEndBatcher;
  client: WorkerClient;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Task durations, learned from the runs that ended. */
  estimate: WorkEstimate;
  health: WorkerHealth;
  /** The advisor's permit for running a step on a worker; undefined if there is none or it has expired. */
  permit: (step: string, worker: string) => string | undefined;
  /** Whether this node is certain to be the leader still. */
  isConfirmedLeader: () => boolean;
  /** Called when capacity was freed or the worker became usable. */
  onChange: () => void;
  /** Called when the worker certainly has no runs any more. */
  onLost: (worker: string, loss: WorkerLoss) => void;
}

/** Why a worker has no runs any more. */
export interface WorkerLoss {
  /**
   * `crashed`: it ended without an announcement. `departed`: it had announced its end. `ordered`: an order for its VM
   * ended it. `unreachable`: its lease has ended, and it may still answer later.
   */
  kind: "crashed" | "departed" | "ordered" | "unreachable";
  reason: string;
}

/** Percentage at which a worker lists a long-running task once it is ready. */
const READY_PERCENT = 100;

/** Back-off after an unanswered order or renewal: several round trips of a slow link. */
const UNANSWERED_BACKOFF_MS = 250;

/**
 * Longest wait of a renewal at a worker with runs that end by themselves. If its answer is lost, ends are noticed only
 * with the next one.
 */
const BUSY_WAIT_MS = 500;

/** Deadline of a renewal beyond its wait: some round trips of a slow link. A worker that missed it gets longer. */
const PROMPT_ANSWER_MS = 400;

/** Delay before a retry while leadership is not confirmed. */
const UNCONFIRMED_DELAY_MS = 20;

/** How long a worker that refused an order because it is unhealthy gets no new runs. */
const UNHEALTHY_PAUSE_MS = 2_000;

/** How long a worker without the free resources that the job store expects gets no new runs; a renewal corrects that. */
const NO_ROOM_PAUSE_MS = 200;

/** A run that the worker confirmed as started; kept to learn its duration. */
interface StartedRun {
  run: number;
  queue: string;
  estimatedMs: number;
  /** Monotonic time of the start, in milliseconds. */
  startedAt: number;
}

export class WorkerSession {
  worker: Worker;
  readonly #parts: WorkerSessionParts;
  readonly #orders: WorkerOrders;
  readonly #lease: WorkerLease;
  /** Number of the latest run end that is committed. */
  #lastCommittedEnd = 0;
  #lastContactAt = -Infinity;
  /** When the last renewal that was answered had been sent. */
  #lastAnsweredSentAt = -Infinity;
  /** Whether the worker has listed its runs in this leadership term. */
  #isVerified = false;
  #firstContactAt = Infinity;
  /** Since when renewals got no answer; undefined if the last one was answered. */
  #silentSince: number | undefined;
  #pausedUntil = -Infinity;
  #stopped = false;
  readonly #stragglers: StragglerDetector;
  readonly #pacer: Pacer;
  /** Runs that this session started, by task. */
  readonly #startedRuns = new Map<string, StartedRun>();
  readonly #survival = new RunSurvival();
  /** Runs of suspected tasks that may still be on probation. */
  readonly #probation = new Set<RunRecord>();
  #lastListing: Listing = { running: [], ended: [] };

  constructor(worker: Worker, parts: WorkerSessionParts) {
    const { settings, clock } = parts;
    const now = clock.monotonic();
    this.worker = worker;
    this.#parts = parts;
    this.#orders = new WorkerOrders({
      unansweredMs: UNANSWERED_BACKOFF_MS,
      stopMs: settings.stopMs,
    });
    this.#pacer = new Pacer(parts);
    this.#stragglers = new StragglerDetector(parts.estimate);
    this.#lease = new WorkerLease(settings.leaseMs, now);
    for (const run of parts.consensus.state.load(worker.id).runs.values()) {
      this.#orders.add(run, now, true);
      this.#watchIfSuspected(run);
    }
  }

  /** Whether the worker may get new runs. */
  isUsable(now: number): boolean {
    return this.isInContact(now) && this.#silentSince === undefined &&
      !this.worker.draining && now >= this.#pausedUntil;
  }

  /** Whether the worker has answered within `contactMs`. */
  isInContact(now: number): boolean {
    return this.#isVerified &&
      now - this.#lastContactAt < this.#parts.settings.contactMs;
  }

  /** When a renewal was first unanswered since the worker's last answer; undefined if the last one was answered. */
  get silentSince(): number | undefined {
    return this.#silentSince;
  }

  /** Whether the worker was in contact at some time before `since` and has not answered from then to `until`. */
  wasSilent(since: number, until: number): boolean {
    return this.#firstContactAt <= since && this.#lastContactAt <= until &&
      this.#silentSince !== undefined && this.#silentSince <= until;
  }

  /** Whether the worker answered a renewal that was sent after `at`, in monotonic milliseconds. */
  hasAnsweredSince(at: number): boolean {
    return this.#lastAnsweredSentAt > at;
  }

  /** Whether a long-running task is ready: its worker is in contact and listed it so. */
  isReady({ task, run }: RunRecord, now: number): boolean {
    return this.isInContact(now) &&
      this.#lastListing.running.some((row) =>
        row.task === task && row.run === run && row.percent === READY_PERCENT
      );
  }

  /** What is known of the start of a run and of how long it ran. */
  evidenceOf(run: RunRecord): RunEvidence {
    const survivedMs = this.#survival.survivedMs(run.task, run.run);
    if (survivedMs !== undefined) {
      return { start: "confirmed", survivedMs };
    }
    const isUnsent = this.#orders.isUnsent(run);
    return { start: isUnsent ? "unsent" : "unanswered", survivedMs: 0 };
  }

  /** Job that has runs on probation here, so that the worker must get no run of another one. */
  get jobOnProbation(): string | undefined {
    const [run] = this.#probation;
    return run?.job;
  }

  /** Whether all runs here are known to have run for a while. */
  isSettled(): boolean {
    const runs = this.#parts.consensus.state.load(this.worker.id).runs;
    return [...runs.values()].every((run) => this.#hasSurvived(run));
  }

  #hasSurvived(run: RunRecord): boolean {
    return this.evidenceOf(run).survivedMs >= PROBATION_MS;
  }

  #watchIfSuspected(run: RunRecord): void {
    if (this.#parts.consensus.state.isSuspected(run)) {
      this.#probation.add(run);
    }
  }

  /** Renews the lease until the session is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#parts.isConfirmedLeader()) {
        await this.#renew();
      } else {
        await wait(UNCONFIRMED_DELAY_MS);
      }
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#parts.client.disconnect(this.worker);
  }

  /** Orders runs whose placement is committed. */
  start(runs: readonly RunRecord[]): void {
    const now = this.#parts.clock.monotonic();
    runs.forEach((run) => {
      this.#orders.add(run, now);
      this.#watchIfSuspected(run);
    });
    this.sendDue();
  }

  /** Requests the stop of a run that is no longer wanted. */
  requestStop(run: RunRecord): void {
    this.#orders.requestStop(run, this.#parts.clock.monotonic());
  }

  /** Sends the orders that are due, if leadership is confirmed. */
  sendDue(): void {
    if (
      !this.#orders.hasUnsent || this.#stopped ||
      !this.#parts.isConfirmedLeader()
    ) {
      return;
    }
    const now = this.#parts.clock.monotonic();
    if (this.worker.draining || this.#isOvercommitted()) {
      this.#orders.stopPendingStarts(now);
    }
    for (const run of this.#orders.takeStops(now)) {
      void this.#sendStop(run);
    }
    if (this.#isVerified) {
      for (const run of this.#orders.takeStarts(now)) {
        void this.#sendStart(run);
      }
    }
  }

  /** Whether the runs reserve more than the worker has, since its capacity shrank after they were placed. */
  #isOvercommitted(): boolean {
    const { capacity, id } = this.worker;
    const { reserved } = this.#parts.consensus.state.load(id);
    return reserved.cpuMilli > capacity.cpuMilli ||
      reserved.memoryMb > capacity.memoryMb || reserved.gpus > capacity.gpus;
  }

  async #renew(): Promise<void> {
    const { client, settings, clock, term } = this.#parts;
    const sentAt = clock.monotonic();
    const leaseDeadlineMs = this.#leaseDeadlineFor(sentAt);
    const wasSilent = this.#silentSince !== undefined;
    const mayWait = this.#isVerified && !wasSilent;
    const answer = await client.renew(this.worker, {
      fence: term,
      leaseDeadlineMs,
      seenEnds: this.#lastCommittedEnd,
      waitMs: mayWait ? this.#renewalWaitMs() : 0,
      timeoutMs: wasSilent
        ? settings.callTimeoutMs
        : Math.min(PROMPT_ANSWER_MS, settings.callTimeoutMs),
    });
    this.#logContactChange(answer, clock.monotonic());
    const now = clock.monotonic();
    switch (answer.kind) {
      case "listing":
        this.#lastAnsweredSentAt = sentAt;
        this.#recordContact(answer.clockMs, now);
        this.#survival.recordListing(answer.listing.running, answer.clockMs);
        this.#endProbations();
        await this.#processListing(answer.listing, sentAt, now);
        return;
      case "other_worker":
        this.#reportReplaced();
        return;
      case "fenced":
        this.#parts.log.warn("worker.fenced", { worker: this.worker.id, term });
        await wait(UNANSWERED_BACKOFF_MS);
        return;
      case "no_answer":
        this.#handleSilence(now, answer.reason);
        if (wasSilent) {
          await wait(UNANSWERED_BACKOFF_MS);
        }
    }
  }

  #renewalWaitMs(): number {
    const { consensus, settings } = this.#parts;
    const jobStore = consensus.state;
    const runs = [...jobStore.load(this.worker.id).runs.values()];
    const isBusy = runs.some((run) => jobStore.stepOf(run)?.lasting === false);
    return isBusy
      ? Math.min(BUSY_WAIT_MS, settings.renewalWaitMs)
      : settings.renewalWaitMs;
  }

  /** Logs when a worker stops answering and when it answers again. */
  #logContactChange(answer: RenewalAnswer, now: number): void {
    const isSilent = answer.kind === "no_answer";
    if (isSilent !== (this.#silentSince !== undefined)) {
      this.#silentSince = isSilent ? now : undefined;
      this.#parts.log.info(isSilent ? "worker.silent" : "worker.answers", {
        worker: this.worker.id,
        reason: isSilent ? answer.reason : undefined,
        heardMsAgo: Math.round(now - this.#lastContactAt),
        leaseLeftMs: Math.round(this.#lease.endsBy - now),
      });
    }
  }

  #recordContact(clockMs: number | undefined, now: number): void {
    this.#lastContactAt = now;
    this.#firstContactAt = Math.min(this.#firstContactAt, now);
    if (clockMs !== undefined) {
      this.#survival.recordAnswer(clockMs);
      this.#lease.recordClock({ workerMs: clockMs, receivedAt: now });
    }
  }

  /**
   * The lease deadline for an order sent now, on the worker's clock. The lease of a worker that does not answer is not
   * extended, so that its tasks can run elsewhere soon.
   */
  #leaseDeadlineFor(now: number): number | undefined {
    if (this.#silentSince === undefined) {
      this.#lease.extend(now);
    }
    return this.#lease.deadline;
  }

  async #processListing(
    listing: Listing,
    sentAt: number,
    now: number,
  ): Promise<void> {
    const { consensus, runEndBatcher } = this.#parts;
    const jobStore = consensus.state;
    const { id } = this.worker;
    this.#lastListing = listing;
    this.#orders.retain((run) => jobStore.findRun(run) !== undefined);
    this.#survival.retain((task, run) =>
      jobStore.findRun({ task, run, worker: id }) !== undefined
    );
    const { dropped, strays } = this.#orders.reconcile(
      listing,
      sentAt,
      now,
    );
    if (!this.#isVerified) {
      this.#isVerified = true;
      this.#parts.log.info("worker.verified", {
        worker: id,
        running: listing.running.length,
      });
      this.#parts.onChange();
    }
    this.#stopStuckRuns(listing, now);
    this.#pacer.update(this.worker, listing, now);
    strays.forEach(({ task, run }) => void this.#stopStray(task, run));
    const ends = listing.ended.map(({ task, run, how, checkpoint }): RunEnd => {
      return { task, run, worker: id, how, checkpoint };
    });
    if (ends.length > 0 || dropped.length > 0) {
      const committed = await runEndBatcher.add(ends, dropped);
      if (committed.ok) {
        this.#lastCommittedEnd = listing.ended.reduce(
          (highest, { number }) => Math.max(highest, number),
          this.#lastCommittedEnd,
        );
        this.#recordEnds(ends, dropped);
      } else {
        await wait(UNCONFIRMED_DELAY_MS);
      }
    }
    this.sendDue();
  }

  /** Stops runs that are stuck, so that they run elsewhere, and gives the worker no new runs for a while. */
  #stopStuckRuns({ running }: Listing, now: number): void {
    const { consensus, health, log, metrics } = this.#parts;
    const { id } = this.worker;
    const stuck = this.#stragglers.detect(id, running, consensus.state, now);
    if (stuck.length === 0) {
      return;
    }
    const paused = health.recordStall(id, now);
    for (const { run, percent } of stuck) {
      this.#orders.requestStop(run, now);
      metrics.count("quetzalcove_runs_stuck_total");
      log.warn("run.stuck", {
        task: run.task,
        run: run.run,
        worker: id,
        percent,
        paused,
      });
    }
  }

  #recordEnds(ends: readonly RunEnd[], dropped: readonly RunKey[]): void {
    const { metrics, log, onChange } = this.#parts;
    for (const { task, run, worker, how } of ends) {
      metrics.count("quetzalcove_runs_ended_total", { how });
      this.#recordDuration(task, run, how);
      this.#recordHealth(task, how);
      if (how !== "done") {
        log.info("run.ended", { task, run, worker, how });
      }
    }
    for (const { task, run, worker } of dropped) {
      log.info("run.dropped", { task, run, worker, reason: "never started" });
    }
    onChange();
  }

  #recordHealth(task: string, how: RunOutcome): void {
    const { health, clock, log } = this.#parts;
    const job = parseTaskName(task)?.job ?? "";
    const { id } = this.worker;
    if (health.recordEnd(id, job, how, clock.monotonic())) {
      log.warn("worker.paused", { worker: id, reason: "runs fail there" });
    }
  }

  #recordDuration(task: string, run: number, how: RunOutcome): void {
    const startedRun = this.#startedRuns.get(task);
    this.#startedRuns.delete(task);
    if (startedRun?.run === run && how === "done") {
      const { estimate, clock } = this.#parts;
      const tookMs = clock.monotonic() - startedRun.startedAt;
      estimate.observe(startedRun.queue, startedRun.estimatedMs, tookMs);
    }
  }

  async #sendStart(run: RunRecord): Promise<void> {
    const { client, consensus, clock, term, metrics, runEndBatcher } =
      this.#parts;
    const jobStore = consensus.state;
    const job = jobStore.jobs.get(run.job);
    const task = jobStore.taskOf(run);
    const isWanted = jobStore.findRun(run) !== undefined &&
      job?.outcome === "open" && job.spec !== undefined && task !== undefined;
    const sentAt = clock.monotonic();
    const leaseDeadlineMs = this.#leaseDeadlineFor(sentAt);
    if (!isWanted || leaseDeadlineMs === undefined) {
      this.#orders.requestStop(run, sentAt);
      return;
    }
    const { answer, clockMs } = await client.start(this.worker, {
      task: run.task,
      run: run.run,
      text: job.spec?.text ?? "",
      leaseDeadlineMs,
      fence: term,
      checkpoint: task.checkpoint,
      permit: this.#permitOf(run),
    });
    const now = clock.monotonic();
    metrics.observe("quetzalcove_start_order_seconds", now - sentAt);
    if (answer !== "no_answer") {
      this.#recordContact(clockMs, now);
    }
    if (answer === "started") {
      if (clockMs !== undefined) {
        this.#survival.recordStart(run.task, run.run, clockMs);
      }
      this.#startedRuns.set(run.task, {
        run: run.run,
        queue: job.queue,
        estimatedMs: job.spec?.steps[run.step]?.estimatedMs ?? 0,
        startedAt: now,
      });
    }
    if (answer === "started" && this.#probation.has(run)) {
      setTimeout(() => void this.#checkProbation(), PROBATION_MS);
    }
    const refused = this.#orders.recordStartAnswer(run, answer, now);
    if (answer !== "started") {
      this.#handleRefusal(run, answer, now);
    }
    if (refused !== undefined) {
      await runEndBatcher.add([], [refused]);
      this.#parts.onChange();
    }
  }

  /** Asks for a listing without waiting for an end, since a run on probation keeps others from its worker. */
  async #checkProbation(): Promise<void> {
    const { client, settings, clock, term, isConfirmedLeader } = this.#parts;
    if (this.#stopped || !isConfirmedLeader()) {
      return;
    }
    const answer = await client.renew(this.worker, {
      fence: term,
      leaseDeadlineMs: this.#leaseDeadlineFor(clock.monotonic()),
      seenEnds: this.#lastCommittedEnd,
      waitMs: 0,
      timeoutMs: Math.min(PROMPT_ANSWER_MS, settings.callTimeoutMs),
    });
    if (answer.kind === "listing") {
      this.#survival.recordListing(answer.listing.running, answer.clockMs);
      this.#endProbations();
    }
  }

  /** Ends the probation of runs that have ended or have run for a while; the latter are cleared. */
  #endProbations(): void {
    const { consensus, runEndBatcher, onChange } = this.#parts;
    const isHeld = (run: RunRecord): boolean =>
      consensus.state.findRun(run) !== undefined;
    const over = [...this.#probation].filter((run) =>
      !isHeld(run) || this.#hasSurvived(run)
    );
    if (over.length === 0) {
      return;
    }
    over.forEach((run) => this.#probation.delete(run));
    const cleared = over.filter(isHeld).map(({ task, run, worker }) => ({
      task,
      run,
      worker,
    }));
    void runEndBatcher.add([], [], cleared);
    onChange();
  }

  #permitOf(run: RunRecord): string {
    const { permit } = this.#parts;
    return permit(stepName(run), this.worker.id) ?? "";
  }

  #handleRefusal(run: RunRecord, answer: StartAnswer, now: number): void {
    const { log, metrics } = this.#parts;
    const { task, worker } = run;
    metrics.count("quetzalcove_starts_refused_total", { answer });
    log.warn("run.not_started", { task, run: run.run, worker, answer });
    if (answer === "other_worker") {
      this.#reportReplaced();
    } else if (answer === "unwell") {
      this.#pausedUntil = now + UNHEALTHY_PAUSE_MS;
    } else if (answer === "no_room") {
      this.#pausedUntil = now + NO_ROOM_PAUSE_MS;
    }
  }

  async #sendStop(run: RunRecord): Promise<void> {
    const { task, run: number } = run;
    const isAnswered = await this.#stopRun(task, number);
    this.#orders.recordStopAnswer(
      run,
      isAnswered,
      this.#parts.clock.monotonic(),
    );
  }

  async #stopStray(task: string, run: number): Promise<void> {
    const isAnswered = await this.#stopRun(task, run);
    this.#parts.log.warn("run.stray_stopped", {
      task,
      run,
      worker: this.worker.id,
      answered: isAnswered,
    });
  }

  async #stopRun(task: string, run: number): Promise<boolean> {
    const { client, clock, term } = this.#parts;
    const order = { task, run, fence: term };
    const { answer, clockMs } = await client.stop(this.worker, order);
    if (answer) {
      this.#recordContact(clockMs, clock.monotonic());
    }
    return answer;
  }

  #handleSilence(now: number, reason: string): void {
    const { contactMs } = this.#parts.settings;
    this.#parts.metrics.count("quetzalcove_renewals_unanswered_total");
    const hasExpired = now > this.#lease.endsBy &&
      now - this.#lastContactAt > contactMs;
    if (this.worker.hasLeft) {
      this.#reportLost({ kind: "departed", reason });
    } else if (hasExpired) {
      this.#reportLost({ kind: "unreachable", reason });
    }
  }

  #reportReplaced(): void {
    const { draining, hasLeft } = this.worker;
    this.#reportLost({
      kind: draining || hasLeft ? "departed" : "crashed",
      reason: "another worker has its address",
    });
  }

  #reportLost(loss: WorkerLoss): void {
    if (!this.#stopped) {
      this.stop();
      this.#parts.onLost(this.worker.id, loss);
    }
  }
}
