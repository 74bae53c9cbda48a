/**
 * Session of a leader with one worker: renews its lease, sends it orders and commits the run ends that it lists.
 *
 * @module
 */
import {
  type CompleteListing,
  isComplete,
  isLaterLife,
  type Listing,
  LONGEST_ORDER_DELAY_MS,
  type RunEnd,
  type RunEvidence,
  type RunKey,
  runName,
  type RunRecord,
  sortEarlierRuns,
  type Worker,
  WorkerOrders,
} from "@quetzalcove/core/scheduling";
import { wait } from "../waiting.ts";
import { OrderSender, UNANSWERED_BACKOFF_MS } from "./order_sender.ts";
import { Pacer } from "./pacer.ts";
import type { RenewalAnswer } from "./platform_clients.ts";
import { RunEndRecorder } from "./run_end_recorder.ts";
import { RunProbation } from "./run_probation.ts";
import { StragglerDetector } from "./straggler_detector.ts";
import { WorkerContact } from "./worker_contact.ts";
import { WorkerLease } from "./worker_lease.ts";
import { lossOfEnded, type WorkerLoss } from "./worker_loss.ts";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

function hasUnreadableRows({ unreadableRows }: Listing): boolean {
  return unreadableRows > 0;
}

/** Percentage at which a worker lists a long-running task once it is ready. */
const READY_PERCENT = 100;

/**
 * Longest wait of a renewal at a worker with runs that end by themselves. If its answer is lost, ends are noticed only
 * with the next one.
 */
const BUSY_WAIT_MS = 500;

/** The same while it is not known of some run whether it runs: the next listing tells, or allows to place it elsewhere. */
const UNDECIDED_WAIT_MS = 100;

/** Deadline of a renewal beyond its wait: some round trips of a slow link. A worker that missed it gets longer. */
const PROMPT_ANSWER_MS = 400;

/** Delay before a retry while leadership is not confirmed. */
const UNCONFIRMED_DELAY_MS = 20;

/** The earlier life of a worker that restarted under its id. */
export interface EarlierLife {
  /** What is known of the start of a run in that life, and of how long it ran. */
  evidenceOf: (run: RunRecord) => RunEvidence;
  /**
   * Releases the runs that ended with it, and records those that may have crashed it, among them the runs that are
   * started again; resolves with whether that is committed.
   */
  release: (
    ended: readonly RunRecord[],
    repeated: readonly RunRecord[],
  ) => Promise<boolean>;
}

export class WorkerSession {
  worker: Worker;
  readonly #parts: WorkerSessionParts;
  readonly #orders: WorkerOrders;
  readonly #sender: OrderSender;
  readonly #contact: WorkerContact;
  readonly #probation: RunProbation;
  readonly #recorder: RunEndRecorder;
  readonly #stragglers: StragglerDetector;
  readonly #pacer: Pacer;
  /** Number of the latest run end that is committed. */
  #lastCommittedEnd = 0;
  /** Whether the worker has listed its runs in this leadership term, with all of its ends where these can be read. */
  #isVerified = false;
  #stopped = false;
  #isSuperseded = false;
  /** Runs of an earlier session whose start the worker may still carry out; empty once it was told to stop them. */
  #forestalled: readonly RunKey[];
  /** Undefined once a complete listing of this life has told which runs ended with the earlier one. */
  #earlier: EarlierLife | undefined;
  /** Runs that were listed as ready, so that becoming ready counts once as a sign that the worker is sound. */
  #readyRuns = new Set<string>();
  #lastListing: Listing = {
    running: [],
    ended: [],
    unreadableRows: 0,
    hasMoreEnds: false,
  };

  /**
   * `hasRestarted` if the worker had an earlier life in this term; `earlier` if that life may have had runs. `forestalled`
   * are runs that an earlier session with this life gave up without an answer to their start.
   */
  constructor(
    worker: Worker,
    parts: WorkerSessionParts,
    { hasRestarted = false, earlier, forestalled = [] }: {
      hasRestarted?: boolean;
      earlier?: EarlierLife | undefined;
      forestalled?: readonly RunKey[];
    } = {},
  ) {
    const { settings, clock } = parts;
    const now = clock.monotonic();
    this.worker = worker;
    this.#parts = parts;
    this.#orders = new WorkerOrders({
      unansweredMs: UNANSWERED_BACKOFF_MS,
      pausesUnanswered: settings.pauseUnanswered,
      stopMs: settings.stopMs,
    });
    this.#pacer = new Pacer(parts);
    this.#stragglers = new StragglerDetector(parts.estimate);
    this.#earlier = earlier;
    this.#forestalled = forestalled;
    const { leaseMs, maxLeaseMs, contactMs } = settings;
    this.#contact = new WorkerContact(
      contactMs,
      hasRestarted
        ? WorkerLease.restarted(leaseMs, maxLeaseMs, now)
        : WorkerLease.inherited(leaseMs, now),
    );
    this.#recorder = new RunEndRecorder(() => this.worker, parts);
    this.#probation = new RunProbation({
      ...parts,
      isUnsent: (run) => this.#orders.isUnsent(run),
    });
    this.#sender = new OrderSender(this.#orders, {
      ...parts,
      worker: () => this.worker,
      recorder: this.#recorder,
      probation: this.#probation,
      isVerified: () => this.#isVerified,
      leaseDeadlineFor: (at) => this.#contact.leaseDeadlineFor(at),
      onAnswer: (clockMs, at) => this.#recordAnswer(clockMs, at),
      onReplaced: () => this.#reportReplaced(),
      checkProbation: () => void this.#checkProbation(),
    });
    if (earlier === undefined) {
      this.#adopt(this.#runs(), now);
    }
  }

  /** Takes over runs whose start an earlier leader or life may have received. */
  #adopt(
    runs: readonly RunRecord[],
    now: number,
    undecidedUntil = -Infinity,
  ): void {
    for (const run of runs) {
      this.#orders.add(run, now, true, undecidedUntil);
      this.#probation.adopt(run);
    }
  }

  /** Whether the worker may get new runs. */
  isUsable(now: number): boolean {
    return this.unusableReason(now) === undefined;
  }

  /** Why the worker must get no new runs; undefined if it may. */
  unusableReason(now: number): string | undefined {
    if (this.worker.draining) {
      return "draining";
    }
    if (!this.#isVerified) {
      return "runs not listed";
    }
    const isSilent = this.silentSince !== undefined || !this.isInContact(now);
    return isSilent ? "silent" : this.#sender.pauseReason(now);
  }

  /** Whether the worker has listed its runs and has answered within `contactMs`. */
  isInContact(now: number): boolean {
    return this.#isVerified && this.#contact.hasAnsweredRecently(now);
  }

  /** When a renewal was first unanswered since the worker's last answer; undefined if the last one was answered. */
  get silentSince(): number | undefined {
    return this.#contact.silentSince;
  }

  /** Whether the worker was in contact at some time before `since` and has not answered from then to `until`. */
  wasSilent(since: number, until: number): boolean {
    return this.#contact.wasSilent(since, until);
  }

  /** Whether the worker answered a renewal that was sent after `at`, in monotonic milliseconds. */
  hasAnsweredSince(at: number): boolean {
    return this.#contact.hasAnsweredSince(at);
  }

  /** Whether a long-running task is ready: its worker is in contact and listed it so, and it was not ordered to stop. */
  isReady(record: RunRecord, now: number): boolean {
    const { task, run } = record;
    return this.isInContact(now) && !this.#orders.isStopping(record) &&
      this.#lastListing.running.some((row) =>
        row.task === task && row.run === run && row.percent === READY_PERCENT
      );
  }

  /** What is known of the start of a run and of how long it ran. */
  evidenceOf(run: RunRecord): RunEvidence {
    return this.#earlier?.evidenceOf(run) ?? this.#probation.evidenceOf(run);
  }

  /** Job that has runs on probation here, so that the worker must get no run of another one. */
  get jobOnProbation(): string | undefined {
    return this.#probation.job;
  }

  /** Whether all runs here are known to have run for a while. */
  isSettled(): boolean {
    return this.#runs().every((run) => this.#probation.hasSurvived(run));
  }

  /** Renews the lease until the session is stopped. */
  async run(): Promise<void> {
    void this.#forestall();
    while (!this.#stopped) {
      if (this.#parts.isConfirmedLeader()) {
        await this.#renew();
      } else {
        await wait(UNCONFIRMED_DELAY_MS);
      }
    }
  }

  /** Stops what the worker may still start; until that is answered it gets no lease, under which it would. */
  async #forestall(): Promise<void> {
    if (this.#forestalled.length > 0) {
      await this.#sender.forestall(this.#forestalled);
      this.#forestalled = [];
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#sender.stop();
    this.#parts.client.disconnect(this.worker);
  }

  /** Ends the session since its worker restarted: answers that arrive later may be those of another life. */
  supersede(): void {
    this.#isSuperseded = true;
    this.#sender.supersede();
    this.stop();
  }

  /** Orders runs whose placement is committed. */
  start(runs: readonly RunRecord[]): void {
    const now = this.#parts.clock.monotonic();
    runs.forEach((run) => {
      this.#orders.add(run, now);
      this.#probation.add(run);
    });
    this.#parts.measure("orders", () => this.sendDue());
  }

  /** Requests the stop of a run that is no longer wanted. */
  requestStop(run: RunRecord): void {
    this.#sender.requestStop(run);
  }

  /** Sends the orders that are due, if leadership is confirmed; a worker that has announced its end has to stop all runs. */
  sendDue(): void {
    if (this.worker.hasLeft) {
      this.#runs().filter((run) => !this.#orders.isUnsent(run))
        .forEach((run) => this.#sender.requestStop(run));
    }
    this.#sender.sendDue();
  }

  /** The runs that the job store holds on this worker. */
  #runs(): RunRecord[] {
    return [...this.#parts.consensus.state.load(this.worker.id).runs.values()];
  }

  async #renew(): Promise<void> {
    const { settings, clock, term } = this.#parts;
    const sentAt = clock.monotonic();
    const wasSilent = this.silentSince !== undefined;
    const mayWait = this.#isVerified && !wasSilent;
    const answer = await this.#callRenewal(
      sentAt,
      mayWait ? this.#renewalWaitMs() : 0,
      wasSilent ? settings.callTimeoutMs : PROMPT_ANSWER_MS,
    );
    if (this.#isSuperseded) {
      return;
    }
    const now = clock.monotonic();
    if (answer.kind === "listing" && this.#isOtherLife(answer.bornAtMs)) {
      await wait(UNCONFIRMED_DELAY_MS);
      return;
    }
    this.#recordRenewal(answer, now);
    switch (answer.kind) {
      case "listing":
        this.#contact.recordListing(sentAt);
        this.#recordAnswer(answer.clockMs, now);
        this.#probation.recordListing(answer.listing.running, answer.clockMs);
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

  /**
   * Whether an answer is that of another life of the worker. A later one ends the session; the answer of an earlier one
   * is stale.
   */
  #isOtherLife(bornAtMs: number | undefined): boolean {
    const known = this.worker.bornAtMs;
    if (bornAtMs === undefined || bornAtMs === known) {
      return false;
    }
    const isLater = isLaterLife(known, bornAtMs);
    if (isLater) {
      this.supersede();
    }
    if (isLater || known === undefined) {
      this.#parts.onBirth(this.worker.id, bornAtMs);
    }
    return known !== undefined;
  }

  /** Renews the lease; `waitMs` is how long the worker may wait for an end, `timeoutMs` the deadline beyond that. */
  #callRenewal(
    now: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<RenewalAnswer> {
    const { client, settings, term } = this.#parts;
    return client.renew(this.worker, {
      fence: term,
      leaseDeadlineMs: this.#forestalled.length > 0
        ? undefined
        : this.#contact.leaseDeadlineFor(now),
      seenEnds: this.#lastCommittedEnd,
      waitMs,
      timeoutMs: Math.min(timeoutMs, settings.callTimeoutMs),
    });
  }

  #renewalWaitMs(): number {
    const { consensus, settings } = this.#parts;
    const jobStore = consensus.state;
    const isBusy = this.#runs().some((run) =>
      jobStore.stepOf(run)?.lasting === false
    );
    const waitMs = this.#orders.awaitsListing
      ? UNDECIDED_WAIT_MS
      : isBusy
      ? BUSY_WAIT_MS
      : settings.renewalWaitMs;
    return Math.min(waitMs, settings.renewalWaitMs);
  }

  /** Records whether a renewal was answered, and logs when that changes. */
  #recordRenewal(answer: RenewalAnswer, now: number): void {
    const isAnswered = answer.kind !== "no_answer";
    if (this.#contact.recordRenewal(isAnswered, now)) {
      this.#parts.log.info(isAnswered ? "worker.answers" : "worker.silent", {
        worker: this.worker.id,
        reason: isAnswered ? undefined : answer.reason,
        heardMsAgo: Math.round(now - this.#contact.lastAnswerAt),
        leaseLeftMs: Math.round(this.#contact.leaseEndsBy - now),
      });
    }
  }

  #recordAnswer(clockMs: number | undefined, now: number): void {
    this.#contact.recordAnswer(clockMs, now);
    if (clockMs !== undefined) {
      this.#probation.recordAnswer(clockMs);
    }
  }

  async #processListing(
    listing: Listing,
    sentAt: number,
    now: number,
  ): Promise<void> {
    const { runEndBatcher, measure } = this.#parts;
    const { id } = this.worker;
    const dropped = measure(
      "listings",
      () => this.#reconcile(listing, sentAt, now),
    );
    const ends = listing.ended.map(({ task, run, how, checkpoint }): RunEnd => {
      return { task, run, worker: id, how, checkpoint };
    });
    if (ends.length > 0 || dropped.length > 0) {
      const committed = await runEndBatcher.add(ends, dropped);
      if (committed.ok) {
        this.#lastCommittedEnd = lastReadEnd(listing, this.#lastCommittedEnd);
        measure("ends", () => this.#recorder.recordEnds(ends, dropped));
      } else {
        await wait(UNCONFIRMED_DELAY_MS);
      }
    }
    this.sendDue();
    if (hasUnreadableRows(listing)) {
      await this.#backOffUnreadable(listing);
    }
  }

  /**
   * Brings orders and what is known of the runs in line with a listing; returns the runs that never start. While it is
   * not known which runs ended with an earlier life, the ends of an incomplete listing are committed and nothing else.
   */
  #reconcile(listing: Listing, sentAt: number, now: number): RunKey[] {
    if (isComplete(listing)) {
      this.#settleEarlierLife(listing, now);
    }
    if (this.#earlier !== undefined) {
      this.#logIncomplete(listing, this.#runs().length);
      return [];
    }
    const jobStore = this.#parts.consensus.state;
    const { id } = this.worker;
    this.#lastListing = listing;
    this.#orders.retain((run) => jobStore.findRun(run) !== undefined);
    this.#probation.retain((task, run) =>
      jobStore.findRun({ task, run, worker: id }) !== undefined
    );
    this.#verify(listing);
    const { dropped, undecided } = this.#sender.reconcile(
      listing,
      sentAt,
      now,
    );
    this.#logIncomplete(listing, undecided);
    this.#recordReadiness(listing);
    this.#stopStuckRuns(listing, now);
    this.#recorder.recordProgress(listing.running, now);
    this.#pacer.update(this.worker, listing, now);
    return dropped;
  }

  /** Logs that nothing is concluded from the absence of `undecided` runs in a listing. */
  #logIncomplete(listing: Listing, undecided: number): void {
    if (!isComplete(listing)) {
      this.#parts.log.info("listing.incomplete", {
        worker: this.worker.id,
        firstEnd: listing.ended[0]?.number,
        lastEnd: listing.ended.at(-1)?.number,
        hasMoreEnds: listing.hasMoreEnds,
        unreadableRows: listing.unreadableRows,
        undecided,
      });
    }
  }

  /** Waits after a listing with unreadable rows: an unreadable end stays listed, so the next renewal does not wait. */
  async #backOffUnreadable({ unreadableRows }: Listing): Promise<void> {
    const worker = this.worker.id;
    const event = { worker, rows: unreadableRows };
    this.#parts.log.warn("listing.rows_unreadable", event);
    await wait(UNANSWERED_BACKOFF_MS);
  }

  /** Decides by the first complete listing of this life what becomes of the runs of the earlier one. */
  #settleEarlierLife(listing: CompleteListing, now: number): void {
    const earlier = this.#earlier;
    if (earlier === undefined) {
      return;
    }
    const { unansweredStarts, log } = this.#parts;
    const { id } = this.worker;
    // Runs that were placed since belong to this session.
    const isUnsent = (run: RunRecord): boolean =>
      this.#orders.isUnsent(run) || earlier.evidenceOf(run).start === "unsent";
    const { unsent, kept, repeated, ended, forestalled } = sortEarlierRuns(
      this.#runs(),
      listing,
      { isUnsent, mayArrive: unansweredStarts.mayArrive(id, now) },
    );
    this.#earlier = undefined;
    this.start(unsent);
    this.#adopt(kept, now);
    this.#adopt(repeated, now, now + LONGEST_ORDER_DELAY_MS);
    void this.#sender.forestall(forestalled);
    log.warn("worker.restarted", {
      worker: id,
      kept: unsent.length + kept.length,
      repeated: repeated.length,
      ended: ended.length,
      forestalled: forestalled.length,
    });
    void earlier.release(ended, repeated).then((isReleased) => {
      if (!isReleased) {
        // They stay placed here, so they are started again under their numbers.
        this.#adopt(ended, this.#parts.clock.monotonic());
      }
    });
  }

  /**
   * Lets orders be sent from the first listing on, and not before all late starts are forestalled. If more ends follow,
   * they tell first which starts need not be repeated; a row that cannot be read keeps them from following.
   */
  #verify(listing: Listing): void {
    const { running, hasMoreEnds } = listing;
    const awaitsEnds = hasMoreEnds && !hasUnreadableRows(listing);
    const mayStart = this.#forestalled.length > 0;
    if (!this.#isVerified && !awaitsEnds && !mayStart) {
      this.#isVerified = true;
      this.#parts.log.info("worker.verified", {
        worker: this.worker.id,
        running: running.length,
      });
      this.#parts.onChange();
    }
  }

  /** Takes each long-running task that becomes ready for a sign that the worker is sound. */
  #recordReadiness({ running }: Listing): void {
    const ready = new Set(
      running.filter(({ percent }) => percent === READY_PERCENT).map(runName),
    );
    if ([...ready].some((run) => !this.#readyRuns.has(run))) {
      this.#parts.health.recordSound(this.worker.id);
    }
    this.#readyRuns = ready;
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

  /** Asks for a listing without waiting for an end, since a run on probation keeps others from its worker. */
  async #checkProbation(): Promise<void> {
    const { clock, isConfirmedLeader } = this.#parts;
    if (this.#stopped || !isConfirmedLeader()) {
      return;
    }
    const answer = await this.#callRenewal(
      clock.monotonic(),
      0,
      PROMPT_ANSWER_MS,
    );
    const isCurrent = answer.kind === "listing" && !this.#isSuperseded &&
      !this.#isOtherLife(answer.bornAtMs);
    if (isCurrent) {
      this.#probation.recordListing(answer.listing.running, answer.clockMs);
    }
  }

  #handleSilence(now: number, reason: string): void {
    this.#parts.metrics.count("quetzalcove_renewals_unanswered_total");
    const { hasLeft } = this.worker;
    // Its announcement says that it will end, not that it has: until its lease ends, what runs there may run on.
    const mayRun = !this.#contact.hasExpired(now) &&
      !(hasLeft && this.#runs().length === 0);
    if (!mayRun) {
      this.#reportLost({ kind: hasLeft ? "departed" : "unreachable", reason });
    }
  }

  #reportReplaced(): void {
    const reason = "another worker has its address";
    this.#reportLost(lossOfEnded(this.worker, reason));
  }

  #reportLost(loss: WorkerLoss): void {
    if (!this.#stopped) {
      this.stop();
      this.#parts.onLost(this.worker.id, loss);
    }
  }
}

/**
 * Number up to which the worker may forget its ends. It forgets all below, so with unreadable rows the number ends before
 * the first one that is missing.
 */
function lastReadEnd(listing: Listing, committed: number): number {
  const numbers = listing.ended.map(({ number }) => number)
    .filter((number) => number > committed).sort((a, b) => a - b);
  if (!hasUnreadableRows(listing)) {
    return numbers.at(-1) ?? committed;
  }
  return numbers.reduce(
    (last, number) => number === last + 1 ? number : last,
    committed,
  );
}
