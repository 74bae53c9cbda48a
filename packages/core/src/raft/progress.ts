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
  /** In UTF-16 code units. */
  size: number;
}

/** A text that is sent in chunks, each after the answer to the one before. */
export interface ChunkTransmission {
  /** Offset of the next chunk, in UTF-16 code units. */
  offset: number;
  /** When the chunk at the offset was sent, in milliseconds; -Infinity if it is to be sent. */
  sentAt: number;
}

interface SnapshotTransmission extends ChunkTransmission {
  snapshot: Snapshot;
}

interface EntryTransmission extends ChunkTransmission {
  index: number;
}

/** Limits on the appends in flight to one replica: their number and total size in UTF-16 code units. */
export interface SendWindow {
  messages: number;
  size: number;
}

const FIRST_CHUNK: ChunkTransmission = {
  offset: 0,
  sentAt: Number.NEGATIVE_INFINITY,
};

/** Goes on with the chunk at the offset that the receiver needs next. */
export function continueAt(
  transmission: ChunkTransmission,
  offset: number,
): void {
  if (offset !== transmission.offset) {
    transmission.offset = offset;
    transmission.sentAt = Number.NEGATIVE_INFINITY;
  }
}

/** Replication state of one replica, held by the leader. */
export class Progress {
  readonly replica: ReplicaId;
  mode: ProgressMode = "probe";
  /** Highest index known to be synced on the replica. */
  match = 0;
  /** Next index to send. */
  next: number;
  /** When the leader began to track the replica, in milliseconds. */
  readonly trackedSince: number;
  /** When the replica last answered in this term, in milliseconds. */
  contactAt = Number.NEGATIVE_INFINITY;
  /** When anything was last sent, in milliseconds. */
  sentAt = Number.NEGATIVE_INFINITY;
  /** Whether no probe may be sent before the replica answers. */
  isProbePaused = false;
  /** Highest commit index that was sent. */
  sentCommit = 0;
  /** Whether an append has to be sent, if need be without entries, to detect lost ones. */
  isVerificationDue = false;
  /** Highest read round that the replica confirmed. */
  confirmedRound = 0;
  transmission: SnapshotTransmission | undefined;
  /** The next entry, if it is sent in chunks; no append is sent until it has been accepted. */
  entryTransmission: EntryTransmission | undefined;
  readonly #window: SendWindow;
  #inFlight: InFlightAppend[] = [];
  #inFlightSize = 0;

  constructor(
    replica: ReplicaId,
    start: { next: number; window: SendWindow },
    now: number,
  ) {
    this.replica = replica;
    this.trackedSince = now;
    this.next = start.next;
    this.#window = start.window;
  }

  /** Whether another append may be sent. */
  get canSendAppend(): boolean {
    if (this.mode === "probe") {
      return !this.isProbePaused;
    }
    return this.mode === "replicate" && this.entryTransmission === undefined &&
      this.#inFlight.length < this.#window.messages &&
      this.#inFlightSize < this.#window.size;
  }

  /** Records that an append was sent. */
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
    if ((this.entryTransmission?.index ?? Infinity) <= this.match) {
      this.entryTransmission = undefined;
    }
    this.isProbePaused = false;
    if (this.mode === "probe") {
      this.mode = "replicate";
    }
    this.#removeAcknowledged();
  }

  /** Returns to probing, with an append from an index on. */
  probe(next: number): void {
    this.mode = "probe";
    this.isProbePaused = false;
    this.isVerificationDue = false;
    this.next = Math.max(next, this.match + 1);
    this.transmission = undefined;
    this.entryTransmission = undefined;
    this.#inFlight = [];
    this.#inFlightSize = 0;
  }

  /** Starts to send a snapshot. */
  startSnapshot(snapshot: Snapshot): void {
    this.probe(this.next);
    this.mode = "snapshot";
    this.transmission = { snapshot, ...FIRST_CHUNK };
  }

  /** Starts to send the next entry in chunks. */
  startEntry(): void {
    this.entryTransmission = { index: this.next, ...FIRST_CHUNK };
  }

  /** Marks an unanswered chunk to be sent again if it was sent at or before a time. */
  retryChunk(sentBy: number): void {
    for (const sent of [this.transmission, this.entryTransmission]) {
      if (sent !== undefined && sent.sentAt <= sentBy) {
        sent.sentAt = Number.NEGATIVE_INFINITY;
      }
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
