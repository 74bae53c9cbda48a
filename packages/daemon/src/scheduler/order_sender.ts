/**
 * Sends the starts and stops of the runs on one worker, and records its answers.
 *
 * @module
 */
import {
  covers,
  type Listing,
  PROBATION_MS,
  type Reconciliation,
  type RunKey,
  type RunRecord,
  stepName,
  type Worker,
  WorkerOrders,
} from "@quetzalcove/core/scheduling";
import { wait } from "../waiting.ts";
import type { StartReply } from "./platform_clients.ts";
import type { RunEndRecorder } from "./run_end_recorder.ts";
import type { RunProbation } from "./run_probation.ts";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

/** Dependencies of an order sender. */
export interface OrderSenderParts extends
  Pick<
    WorkerSessionParts,
    | "term"
    | "consensus"
    | "runEndBatcher"
    | "client"
    | "clock"
    | "log"
    | "metrics"
    | "permit"
    | "startWindow"
    | "unansweredStarts"
    | "isConfirmedLeader"
    | "onChange"
  > {
  worker: () => Worker;
  recorder: RunEndRecorder;
  probation: RunProbation;
  /** Whether the worker has listed its runs in this leadership term. */
  isVerified: () => boolean;
  /** The lease deadline for an order sent now, on the worker's clock. */
  leaseDeadlineFor: (now: number) => number | undefined;
  /** Called with each answer, and the time on the worker's clock if the answer has it. */
  onAnswer: (clockMs: number | undefined, now: number) => void;
  /** Called when another worker answered. */
  onReplaced: () => void;
  /** Asks for a listing without waiting for an end. */
  checkProbation: () => void;
}

/** Back-off after an unanswered order or renewal: several round trips of a slow link. */
export const UNANSWERED_BACKOFF_MS = 250;

/** How long a worker that refused an order because it is unhealthy gets no new runs. */
const UNHEALTHY_PAUSE_MS = 2_000;

/** How long a worker without the free resources that the job store expects gets no new runs; a renewal corrects that. */
const NO_ROOM_PAUSE_MS = 200;

/** Size of a start without the text of its job and its checkpoint. */
const START_BYTES = 512;

export class OrderSender {
  readonly #parts: OrderSenderParts;
  readonly #orders: WorkerOrders;
  #pausedUntil = -Infinity;
  #stopped = false;
  #isSuperseded = false;

  constructor(orders: WorkerOrders, parts: OrderSenderParts) {
    this.#orders = orders;
    this.#parts = parts;
  }

  /** Why the worker gets no new runs for a while; undefined if it may. */
  pauseReason(now: number): string | undefined {
    if (this.#orders.isPaused) {
      return "orders unanswered";
    }
    return now < this.#pausedUntil ? "order refused" : undefined;
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Stops sending, and ignores the answers to starts: they may be those of the worker's next life. */
  supersede(): void {
    this.#stopped = true;
    this.#isSuperseded = true;
  }

  /**
   * Stops runs that the worker does not hold, so that it never carries out a late start of theirs; resolves once all stops
   * were answered, or the sender was stopped.
   */
  async forestall(runs: readonly RunKey[]): Promise<void> {
    await Promise.all(runs.map((run) => this.#forestall(run)));
  }

  async #forestall({ task, run }: RunKey): Promise<void> {
    const { log, worker, isConfirmedLeader } = this.#parts;
    while (!this.#stopped) {
      if (isConfirmedLeader() && await this.#stopRun(task, run)) {
        log.info("run.forestalled", { task, run, worker: worker().id });
        return;
      }
      await wait(UNANSWERED_BACKOFF_MS);
    }
  }

  /** Requests the stop of a run that is no longer wanted. */
  requestStop(run: RunRecord): void {
    this.#orders.requestStop(run, this.#parts.clock.monotonic());
  }

  /** Sends the orders that are due, if leadership is confirmed. */
  sendDue(): void {
    const { clock, worker, isVerified, isConfirmedLeader } = this.#parts;
    if (!this.#orders.hasUnsent || this.#stopped || !isConfirmedLeader()) {
      return;
    }
    const now = clock.monotonic();
    const isClosed = worker().draining || this.#isOvercommitted();
    if (isClosed || this.#orders.isPaused) {
      void this.#dropUnsent();
    }
    // Before the first listing, a start in doubt may be a run that is at work.
    if (isClosed && isVerified()) {
      this.#orders.stopPendingStarts(now);
    }
    for (const run of this.#orders.takeStops(now)) {
      void this.#sendStop(run);
    }
    if (isVerified()) {
      const { startWindow } = this.#parts;
      const starts = this.#orders.takeStarts(
        now,
        (run) => startWindow.tryOpen(run.worker, this.#sizeOf(run)),
      );
      starts.forEach((run) => void this.#sendStart(run));
    }
  }

  /** Reconciles the orders with a listing that was requested at `sentAt`, and stops the strays that it shows. */
  reconcile(
    listing: Listing,
    sentAt: number,
    now: number,
  ): Reconciliation {
    const reconciliation = this.#orders.reconcile(listing, sentAt, now);
    reconciliation.strays.forEach(({ task, run }) =>
      void this.#stopStray(task, run)
    );
    return reconciliation;
  }

  /** Releases the runs whose start was not sent, so that they run elsewhere. */
  async #dropUnsent(): Promise<void> {
    const { runEndBatcher, consensus, clock, log, onChange } = this.#parts;
    const dropped = this.#orders.takeUnsent();
    if (dropped.length === 0) {
      return;
    }
    dropped.forEach(({ task, run, worker }) =>
      log.info("run.dropped", { task, run, worker, reason: "not sent" })
    );
    const committed = await runEndBatcher.add([], dropped);
    if (committed.err) {
      const held = dropped.flatMap((key) => consensus.state.findRun(key) ?? []);
      held.forEach((run) => this.#orders.add(run, clock.monotonic()));
    }
    onChange();
  }

  /** Whether the runs reserve more than the worker has, since its capacity shrank after they were placed. */
  #isOvercommitted(): boolean {
    const { capacity, id } = this.#parts.worker();
    const { reserved } = this.#parts.consensus.state.load(id);
    return !covers(capacity, reserved);
  }

  /** Size of the start of a run, in bytes. */
  #sizeOf(run: RunRecord): number {
    const { state } = this.#parts.consensus;
    const { text = "" } = state.jobs.get(run.job)?.spec ?? {};
    return START_BYTES + text.length + state.checkpointOf(run).length;
  }

  async #sendStart(run: RunRecord): Promise<void> {
    const { client, consensus, clock, term, metrics, runEndBatcher } =
      this.#parts;
    const { startWindow, unansweredStarts, onChange } = this.#parts;
    const bytes = this.#sizeOf(run);
    const jobStore = consensus.state;
    const job = jobStore.jobs.get(run.job);
    const task = jobStore.taskOf(run);
    const isWanted = jobStore.findRun(run) !== undefined &&
      job?.outcome === "open" && job.spec !== undefined && task !== undefined;
    const sentAt = clock.monotonic();
    const leaseDeadlineMs = this.#parts.leaseDeadlineFor(sentAt);
    if (!isWanted || leaseDeadlineMs === undefined) {
      this.#orders.requestStop(run, sentAt);
      startWindow.close(run.worker, bytes);
      return;
    }
    unansweredStarts.recordSent(run, sentAt);
    const reply = await client.start(this.#parts.worker(), {
      task: run.task,
      run: run.run,
      text: job.spec?.text ?? "",
      leaseDeadlineMs,
      fence: term,
      checkpoint: jobStore.checkpointOf(run),
      permit: this.#permitOf(run),
    });
    const wasFull = startWindow.close(run.worker, bytes);
    if (this.#isSuperseded) {
      return;
    }
    const { answer, clockMs, isCopyInDoubt = false, refusedCopy } = reply;
    const now = clock.monotonic();
    metrics.observe("quetzalcove_start_order_seconds", now - sentAt);
    if (answer !== "no_answer") {
      if (!isCopyInDoubt) {
        unansweredStarts.recordAnswered(run, sentAt);
      }
      this.#parts.onAnswer(clockMs, now);
    }
    if (answer === "started") {
      this.#recordStarted(run, clockMs, now);
    }
    const refused = this.#orders.recordStartAnswer(run, answer, now);
    if (answer !== "started") {
      this.#handleRefusal(run, { answer, refusedCopy }, now);
    }
    if (wasFull) {
      this.sendDue();
      onChange();
    }
    if (refused !== undefined) {
      await runEndBatcher.add([], [refused]);
      onChange();
    }
  }

  #recordStarted(
    run: RunRecord,
    clockMs: number | undefined,
    now: number,
  ): void {
    const { probation, recorder, checkProbation } = this.#parts;
    if (clockMs !== undefined) {
      probation.recordStart(run, clockMs);
    }
    recorder.recordStart(run, now);
    if (probation.isOnProbation(run)) {
      setTimeout(checkProbation, PROBATION_MS);
    }
  }

  #permitOf(run: RunRecord): string {
    const { permit, worker } = this.#parts;
    return permit(stepName(run), worker().id) ?? "";
  }

  #handleRefusal(
    run: RunRecord,
    { answer, refusedCopy }: Pick<StartReply, "answer" | "refusedCopy">,
    now: number,
  ): void {
    const { log, metrics, onReplaced } = this.#parts;
    const { task, worker } = run;
    metrics.count("quetzalcove_starts_refused_total", { answer });
    log.warn("run.not_started", {
      task,
      run: run.run,
      worker,
      answer,
      refusedCopy,
    });
    if (answer === "other_worker") {
      onReplaced();
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
      worker: this.#parts.worker().id,
      answered: isAnswered,
    });
  }

  async #stopRun(task: string, run: number): Promise<boolean> {
    const { client, clock, term, worker, onAnswer } = this.#parts;
    const order = { task, run, fence: term };
    const { answer, clockMs } = await client.stop(worker(), order);
    if (answer) {
      onAnswer(clockMs, clock.monotonic());
    }
    return answer;
  }
}
