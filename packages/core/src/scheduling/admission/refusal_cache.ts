/**
 * Refusals that an entry repeats without asking the leader.
 *
 * A refusal promises that the job was not run, so a submission that may have been stored earlier is never refused here.
 *
 * @module
 */
import { evictOldest } from "../../eviction.ts";
import { type Fault, isRefusal } from "../../fault.ts";
import type { Result } from "../../result.ts";
import { markOf } from "./recent_submissions.ts";
import { RetrySlots } from "./retry_slots.ts";

/** Longest time for which a refusal is repeated after it was issued, whatever the leader says. */
export const MAX_REPEAT_MS = 500;

/** Time between the retries that two repeated refusals ask for; some forty fit between their bounds. */
const RETRY_SPACING_MS = 100;

/** Time for which a submission is remembered that may be stored: as long as callers may ask for its outcome. */
const SUBMISSION_RETENTION_MS = 120_000;

const MAX_REFUSALS = 1_024;

/** At 130 submissions a second for the retention time. */
const MAX_SUBMISSIONS = 16_384;

/** A submission as an entry sees it before it knows the queue. */
export interface EntrySubmission {
  /** Digest of the caller's key. */
  keyDigest?: string | undefined;
  host: string;
  path: string;
}

interface CachedRefusal {
  fault: Fault;
  until: number;
  /** Marks of jobs that the leader has accepted, perhaps through another entry. */
  acceptedMarks: ReadonlySet<string>;
}

/** A submission that this entry has passed on. */
interface SentSubmission {
  until: number;
  callsInProgress: number;
  /** Whether a call has stored the job, or may have. */
  mayBeStored: boolean;
}

export class RefusalCache {
  /** Refusals by customer's key and directory of the path, oldest first. */
  readonly #refusals = new Map<string, CachedRefusal>();
  /** Submissions that are being stored or may have been, oldest first. */
  readonly #sent = new Map<string, SentSubmission>();
  /** Until then, a submission may be one that was removed for lack of room. */
  #forgottenUntil = -Infinity;
  readonly #slots = new RetrySlots(MAX_REFUSALS);

  /** The refusal of a submission, if the leader has refused the same customer and queue shortly before. */
  find(submission: EntrySubmission, now: number): Fault | undefined {
    const key = keyOf(submission);
    const cached = key === undefined ? undefined : this.#refusals.get(key);
    if (key === undefined || cached === undefined) {
      return undefined;
    }
    if (now >= cached.until) {
      this.#refusals.delete(key);
      return undefined;
    }
    const { fault, acceptedMarks } = cached;
    const isAccepted = acceptedMarks.has(markOf(jobIdOf(submission)));
    if (isAccepted || this.#mayBeStored(submission, now)) {
      return undefined;
    }
    const retryAfterMs = this.#slots.next(
      key,
      fault.retryAfterMs ?? 0,
      RETRY_SPACING_MS,
      now,
    );
    return { ...fault, retryAfterMs };
  }

  /** Records that a submission is passed on to the leader. */
  recordCall(submission: EntrySubmission, now: number): void {
    if (submission.keyDigest === undefined) {
      return;
    }
    const name = nameOf(submission);
    const earlier = this.#sent.get(name);
    this.#sent.delete(name);
    this.#sent.set(name, {
      until: now + SUBMISSION_RETENTION_MS,
      callsInProgress: (earlier?.callsInProgress ?? 0) + 1,
      mayBeStored: earlier?.mayBeStored ?? false,
    });
    const forgotten = evictOldest(this.#sent, MAX_SUBMISSIONS);
    this.#forgottenUntil = forgotten?.until ?? this.#forgottenUntil;
  }

  /** Records the answer to a submission that was passed on at `calledAt`. */
  recordAnswer(
    submission: EntrySubmission,
    answer: Result<unknown, Fault>,
    calledAt: number,
    now: number,
  ): void {
    const sent = this.#sent.get(nameOf(submission));
    const wasRefused = answer.err && isRefusal(answer.val);
    if (sent !== undefined) {
      sent.callsInProgress -= 1;
      sent.mayBeStored ||= !wasRefused;
      // The refusal of a repeat says nothing about earlier calls.
      if (!sent.mayBeStored && sent.callsInProgress === 0) {
        this.#sent.delete(nameOf(submission));
      }
    }
    if (!answer.err) {
      return;
    }
    if (wasRefused) {
      this.#recordRefusal(submission, answer.val, calledAt, now);
    } else {
      // The cause, such as the loss of the leader, probably concerns calls of other entries too, whose callers may
      // repeat them here.
      this.#refusals.clear();
    }
  }

  /**
   * The time for which a refusal may be repeated counts from before the call, when it cannot have been issued yet, so
   * that a slow answer does not lengthen it.
   */
  #recordRefusal(
    submission: EntrySubmission,
    fault: Fault,
    calledAt: number,
    now: number,
  ): void {
    const key = keyOf(submission);
    const { repeat, ...once } = fault;
    const until = calledAt + Math.min(MAX_REPEAT_MS, repeat?.forMs ?? 0);
    if (key === undefined || repeat === undefined || until <= now) {
      return;
    }
    const acceptedMarks = new Set(repeat.exceptMarks);
    this.#refusals.delete(key);
    this.#refusals.set(key, { fault: once, until, acceptedMarks });
    evictOldest(this.#refusals, MAX_REFUSALS);
  }

  /** Whether a submission may have been stored by an earlier call of this entry. */
  #mayBeStored(submission: EntrySubmission, now: number): boolean {
    for (const [id, { until }] of this.#sent) {
      if (until > now) {
        break;
      }
      this.#sent.delete(id);
    }
    return now < this.#forgottenUntil || this.#sent.has(nameOf(submission));
  }
}

/** Customer and queue; undefined without a key, since anonymous submissions are not refused. */
function keyOf(
  { keyDigest, host, path }: EntrySubmission,
): string | undefined {
  return keyDigest === undefined
    ? undefined
    : `${keyDigest} ${host} ${directoryOf(path)}`;
}

/** The path of a queue; the leader lets an entry repeat a refusal only if it is a directory. */
function directoryOf(path: string): string {
  return path.slice(0, path.lastIndexOf("/") + 1);
}

function jobIdOf({ path }: EntrySubmission): string {
  return path.slice(path.lastIndexOf("/") + 1);
}

function nameOf({ host, path }: EntrySubmission): string {
  return `${host} ${path}`;
}
