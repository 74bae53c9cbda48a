/**
 * When a worker answered, and the lease that its answers allow to extend.
 *
 * @module
 */
import type { WorkerLease } from "./worker_lease.ts";

export class WorkerContact {
  /** Silence after which the worker is not in contact, in milliseconds. */
  readonly #contactMs: number;
  readonly #lease: WorkerLease;
  #lastAnswerAt = -Infinity;
  #firstAnswerAt = Infinity;
  /** When the last renewal that was answered had been sent. */
  #lastAnsweredSentAt = -Infinity;
  #silentSince: number | undefined;

  constructor(contactMs: number, lease: WorkerLease) {
    this.#contactMs = contactMs;
    this.#lease = lease;
  }

  /** When a renewal was first unanswered since the worker's last answer; undefined if the last one was answered. */
  get silentSince(): number | undefined {
    return this.#silentSince;
  }

  get lastAnswerAt(): number {
    return this.#lastAnswerAt;
  }

  /** Monotonic time of this node by which the lease has ended for certain, in milliseconds. */
  get leaseEndsBy(): number {
    return this.#lease.endsBy;
  }

  /** Whether the worker has answered within `contactMs`. */
  hasAnsweredRecently(now: number): boolean {
    return now - this.#lastAnswerAt < this.#contactMs;
  }

  /** Whether the worker has not answered within `contactMs` and its lease has ended. */
  hasExpired(now: number): boolean {
    return now > this.#lease.endsBy &&
      now - this.#lastAnswerAt > this.#contactMs;
  }

  /** Whether the worker was in contact at some time before `since` and has not answered from then to `until`. */
  wasSilent(since: number, until: number): boolean {
    return this.#firstAnswerAt <= since && this.#lastAnswerAt <= until &&
      this.#silentSince !== undefined && this.#silentSince <= until;
  }

  /** Whether the worker answered a renewal that was sent after `at`, in monotonic milliseconds. */
  hasAnsweredSince(at: number): boolean {
    return this.#lastAnsweredSentAt > at;
  }

  /** Records whether a renewal was answered; returns whether this differs from the one before. */
  recordRenewal(isAnswered: boolean, now: number): boolean {
    const isChange = isAnswered !== (this.#silentSince === undefined);
    if (isChange) {
      this.#silentSince = isAnswered ? undefined : now;
    }
    return isChange;
  }

  /** Records that a listing arrived for a renewal that was sent at `sentAt`. */
  recordListing(sentAt: number): void {
    this.#lastAnsweredSentAt = sentAt;
  }

  /** Records an answer, with the time on the worker's clock if it has one. */
  recordAnswer(clockMs: number | undefined, now: number): void {
    this.#lastAnswerAt = now;
    this.#firstAnswerAt = Math.min(this.#firstAnswerAt, now);
    if (clockMs !== undefined) {
      this.#lease.recordClock({ workerMs: clockMs, receivedAt: now });
    }
  }

  /**
   * The lease deadline for an order sent now, on the worker's clock. The lease of a worker that does not answer is not
   * extended, so that its tasks can run elsewhere soon.
   */
  leaseDeadlineFor(now: number): number | undefined {
    if (this.#silentSince === undefined) {
      this.#lease.extend(now);
    }
    return this.#lease.deadline;
  }
}
