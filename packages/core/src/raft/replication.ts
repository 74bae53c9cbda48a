/**
 * What a leader sends: appends, heartbeats, snapshot chunks and read rounds.
 *
 * @module
 */
import type { ChunkTransmission, Progress } from "./progress.ts";
import { sizeOf } from "./record.ts";
import type { SnapshotText } from "./snapshot_text.ts";
import {
  envelope,
  isQuorum,
  type Leadership,
  type Replica,
  send,
} from "./replica.ts";

/** Sends every other replica the appends or the snapshot chunk that may be sent to it now. */
export function replicate(replica: Replica, leadership: Leadership): void {
  for (const progress of leadership.progress.values()) {
    replicateTo(replica, progress);
  }
}

function replicateTo(replica: Replica, progress: Progress): void {
  const { log } = replica;
  const compacted = progress.next - 1 < log.base.index;
  if (compacted && progress.mode !== "snapshot" && !progress.isProbePaused) {
    progress.startSnapshot(log.snapshot!);
  }
  if (progress.mode === "snapshot") {
    sendSnapshotChunk(replica, progress);
    return;
  }
  while (progress.canSendAppend && progress.next <= log.last.index) {
    if (progress.mode === "replicate" && isOversize(replica, progress.next)) {
      progress.startEntry();
    } else {
      sendAppend(replica, progress);
    }
  }
  sendEntryChunk(replica, progress);
  // A verification is sent even if the window is full: nothing else detects that all appends in it were lost.
  if (
    progress.isVerificationDue ||
    progress.canSendAppend && isEmptyAppendDue(replica, progress)
  ) {
    sendAppend(replica, progress);
  }
}

/**
 * Whether an append without entries has to probe the log or carry a new commit index. While a follower has appends to
 * answer, its answer or the next append follows within a round trip, and the commit index goes with the last of them.
 */
function isEmptyAppendDue(
  { commit, log }: Replica,
  { mode, match, sentCommit }: Progress,
): boolean {
  return mode === "probe" ||
    (sentCommit < commit && match === log.last.index);
}

function sendAppend(replica: Replica, progress: Progress): void {
  const { log } = replica;
  const previousIndex = progress.next - 1;
  const previousTerm = log.termAt(previousIndex) ?? 0;
  const { maxAppendSize } = replica.tuning;
  // An append without entries shows whether the logs match before an oversize entry.
  const entries = progress.canSendAppend && !isOversize(replica, progress.next)
    ? log.batch(progress.next, maxAppendSize)
    : [];
  send(replica, {
    kind: "append",
    ...envelope(replica, progress.replica),
    previousIndex,
    previousTerm,
    entries,
    commit: replica.commit,
  });
  progress.sentAt = replica.now;
  progress.sentCommit = replica.commit;
  progress.isVerificationDue = false;
  if (entries.length > 0 || progress.mode === "probe") {
    const size = entries.reduce((sum, entry) => sum + sizeOf(entry), 0);
    progress.recordSent(previousIndex + entries.length, size);
  }
}

/** Whether the entry at an index is a command that is sent in chunks. */
function isOversize({ log, tuning }: Replica, index: number): boolean {
  const entry = log.at(index);
  return entry?.kind === "command" && sizeOf(entry) > tuning.maxEntrySize;
}

/** Sends the chunk of an oversize entry that the follower needs next, if it is due. */
function sendEntryChunk(replica: Replica, progress: Progress): void {
  const { log } = replica;
  const transmission = progress.entryTransmission;
  const entry = transmission && log.at(transmission.index);
  if (transmission === undefined || entry?.kind !== "command") {
    return;
  }
  const part = takeChunk(replica, transmission, entry.data);
  if (part === undefined) {
    return;
  }
  const { index, term } = entry;
  send(replica, {
    kind: "entry_chunk",
    ...envelope(replica, progress.replica),
    previousIndex: index - 1,
    previousTerm: log.termAt(index - 1) ?? 0,
    entry: { index, term },
    ...part,
    commit: replica.commit,
  });
  progress.sentAt = replica.now;
}

/** Sends the chunk of the snapshot that the follower needs next, if it is due. */
function sendSnapshotChunk(replica: Replica, progress: Progress): void {
  const transmission = progress.transmission!;
  const { data, index, term, membership } = transmission.snapshot;
  const part = takeChunk(replica, transmission, data);
  if (part === undefined) {
    return;
  }
  send(replica, {
    kind: "snapshot",
    ...envelope(replica, progress.replica),
    head: { index, term, membership },
    ...part,
  });
  progress.sentAt = replica.now;
}

/** The next chunk of a text; undefined while an answer may come, which is for the election timeout. */
function takeChunk(
  { now, tuning }: Replica,
  transmission: ChunkTransmission,
  text: SnapshotText,
): { offset: number; chunk: string; last: boolean } | undefined {
  const { offset, sentAt } = transmission;
  if (now - sentAt < tuning.electionMs) {
    return undefined;
  }
  transmission.sentAt = now;
  const end = Math.min(text.length, offset + tuning.chunkLength);
  return { offset, chunk: text.slice(offset, end), last: end === text.length };
}

export function sendHeartbeat(replica: Replica, progress: Progress): void {
  send(replica, {
    kind: "heartbeat",
    ...envelope(replica, progress.replica),
    commit: Math.min(progress.match, replica.commit),
    round: replica.leadership?.reads.round ?? 0,
  });
  progress.sentAt = replica.now;
}

/** Serves the reads whose round is confirmed and starts the next round. */
export function flushReads(replica: Replica): void {
  const { leadership } = replica;
  if (leadership === undefined || replica.commit < leadership.firstIndex) {
    return;
  }
  const { reads } = leadership;
  let progressing = true;
  while (progressing) {
    const confirmed = reads.isRoundOpen && isConfirmed(replica, leadership);
    if (confirmed) {
      replica.outbox.reads.push(...reads.confirmRound());
    }
    const started = reads.startRound(replica.commit);
    if (started) {
      leadership.progress.forEach((p) => sendHeartbeat(replica, p));
    }
    progressing = started;
  }
}

function isConfirmed(replica: Replica, leadership: Leadership): boolean {
  const { round } = leadership.reads;
  return isQuorum(
    replica,
    (id) =>
      id === replica.id ||
      (leadership.progress.get(id)?.confirmedRound ?? 0) >= round,
  );
}
