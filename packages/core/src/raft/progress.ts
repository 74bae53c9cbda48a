/**
 * What a leader knows about one other replica, and how much it may send to it.
 *
 * @module
 */
import type { ReplicaId } from "./member.ts";
import type { Snapshot } from "./record.ts";

/**
 * - `probe`: one append at a time until the logs are known to match.
 * - `replicate`: appends are pipelined.
 * - `snapshot`: a snapshot is sent in chunks.
 */
export type ProgressMode = "probe" | "replicate" | "snapshot";

interface InFlightAppend {
  lastIndex: number;
  size: number;
}

interface SnapshotTransmission {
  snapshot: Snapshot;
  offset: number;
  sentAt: number;
}

/** Bounds of the appends that may be under way to one replica. */
export interface SendWindow {
  messages: number;
  size: number;
}

/** Replication state of one replica, held by the leader. */
export class Progress {
  readonly replica: ReplicaId;
  mode: ProgressMode = "probe";
  /** Highest index known to be synced there. */
  match = 0;
  /** Next index to send. */
  next: number;
  /** When the replica last answered in this term, in milliseconds. */
  contactAt = Number.NEGATIVE_INFINITY;
  /** When anything was last sent, in milliseconds. */
  sentAt = Number.NEGATIVE_INFINITY;
  /** Whether a probe awaits its answer. */
  isProbePaused = false;
  /** Highest commit index that was sent. */
  sentCommit = 0;
  /** Whether an empty append shall check that nothing was lost. */
  isVerificationDue = false;
  /** Highest read round that the replica confirmed. */
  confirmedRound = 0;
  transmission: SnapshotTransmission | undefined;
  readonly #window: SendWindow;
  #inFlight: InFlightAppend[] = [];
  #inFlightSize = 0;

  constructor(replica: ReplicaId, start: { next: number; window: SendWindow }) {
    this.replica = replica;
    this.next = start.next;
    this.#window = start.window;
  }

  /** Whether another append may be sent. */
  get canSendAppend(): boolean {
    if (this.mode === "probe") {
      return !this.isProbePaused;
    }
    return this.mode === "replicate" &&
      this.#inFlight.length < this.#window.messages &&
      this.#inFlightSize < this.#window.size;
  }

  /** Records an append that is under way. */
  recordSent(lastIndex: number, size: number): void {
    if (this.mode === "probe") {
      this.isProbePaused = true;
      return;
    }
    this.next = lastIndex + 1;
    this.#inFlight.push({ lastIndex, size });
    this.#inFlightSize += size;
  }

  /** Records that the replica holds the log up to an index. */
  recordAccepted(index: number): void {
    this.match = Math.max(this.match, index);
    this.next = Math.max(this.next, this.match + 1);
    this.isProbePaused = false;
    if (this.mode === "probe") {
      this.mode = "replicate";
    }
    this.#removeAcknowledged();
  }

  /** Goes back to probing from an index. */
  probe(next: number): void {
    this.mode = "probe";
    this.isProbePaused = false;
    this.isVerificationDue = false;
    this.next = Math.max(next, this.match + 1);
    this.transmission = undefined;
    this.#inFlight = [];
    this.#inFlightSize = 0;
  }

  /** Starts to send a snapshot. */
  startSnapshot(snapshot: Snapshot): void {
    this.probe(this.next);
    this.mode = "snapshot";
    this.transmission = {
      snapshot,
      offset: 0,
      sentAt: Number.NEGATIVE_INFINITY,
    };
  }

  /** Lets a snapshot chunk be sent again that was sent before a time and not answered. */
  retryChunk(before: number): void {
    if (this.transmission !== undefined && this.transmission.sentAt <= before) {
      this.transmission.sentAt = Number.NEGATIVE_INFINITY;
    }
  }

  #removeAcknowledged(): void {
    while (
      this.#inFlight[0] !== undefined &&
      this.#inFlight[0].lastIndex <= this.match
    ) {
      this.#inFlightSize -= this.#inFlight.shift()!.size;
    }
  }
}
