/**
 * The follower role: handles appends, heartbeats and snapshots from the leader (Ongaro's thesis, sections 3.5 and 5).
 *
 * @module
 */
import type {
  AppendRequest,
  EntryChunkRequest,
  Heartbeat,
  SnapshotRequest,
} from "./message.ts";
import type { LogEntry, Snapshot } from "./record.ts";
import { ChunkedText } from "./snapshot_text.ts";
import {
  commitTo,
  envelope,
  markUnsaved,
  type PartialEntry,
  type PartialSnapshot,
  recordLeaderContact,
  type Replica,
  send,
} from "./replica.ts";

/** Appends the leader's entries if the log holds the entry before them. */
export function handleAppend(replica: Replica, request: AppendRequest): void {
  recordLeaderContact(replica, request.from);
  const { previousIndex, previousTerm, entries, commit } = request;
  const { log } = replica;
  if (previousIndex < replica.commit) {
    accept(replica, request, replica.commit);
    return;
  }
  if (!log.has({ index: previousIndex, term: previousTerm })) {
    reject(replica, request);
    return;
  }
  entries.forEach((entry) => appendOrReplace(replica, entry));
  const match = previousIndex + entries.length;
  commitTo(replica, Math.min(commit, match));
  accept(replica, request, match);
}

/** Collects the chunks of an entry, and appends it when it is complete. */
export function handleEntryChunk(
  replica: Replica,
  request: EntryChunkRequest,
): void {
  const { entry, offset, chunk, last } = request;
  const { log } = replica;
  const previous = { index: request.previousIndex, term: request.previousTerm };
  const isNeeded = entry.index > replica.commit && !log.has(entry) &&
    log.has(previous);
  if (!isNeeded) {
    replica.partialEntry = undefined;
    handleAppend(replica, appendOf(request, log.slice(entry.index, 1)));
    return;
  }
  recordLeaderContact(replica, request.from);
  const partial = partialEntryOf(replica, entry);
  if (partial.offset === offset) {
    partial.chunks.push(chunk);
    partial.offset += chunk.length;
    if (last) {
      const data = partial.chunks.join("");
      replica.partialEntry = undefined;
      const complete: LogEntry = { kind: "command", ...entry, data };
      handleAppend(replica, appendOf(request, [complete]));
      return;
    }
  }
  send(replica, {
    kind: "entry_chunk_answer",
    ...envelope(replica, request.from),
    index: entry.index,
    offset: partial.offset,
  });
}

/** The append with which a leader would send entries that it sends in chunks. */
function appendOf(
  { from, to, term, previousIndex, previousTerm, commit, entry }:
    EntryChunkRequest,
  entries: LogEntry[],
): AppendRequest {
  return {
    kind: "append",
    from,
    to,
    term,
    previousIndex,
    previousTerm,
    entries: entries.filter((held) => held.term === entry.term),
    commit,
  };
}

function partialEntryOf(
  replica: Replica,
  { index, term }: EntryChunkRequest["entry"],
): PartialEntry {
  const { partialEntry } = replica;
  if (partialEntry?.index === index && partialEntry.term === term) {
    return partialEntry;
  }
  const fresh = { index, term, chunks: [], offset: 0 };
  replica.partialEntry = fresh;
  return fresh;
}

/** Appends an entry that the log lacks, after removing any entries of another term from its index on. */
function appendOrReplace(replica: Replica, entry: LogEntry): void {
  const { log } = replica;
  if (log.has(entry)) {
    return;
  }
  if (entry.index <= log.last.index) {
    log.truncate(entry.index);
  }
  log.append(entry);
  markUnsaved(replica, entry.index);
}

function accept(
  replica: Replica,
  { from }: AppendRequest,
  index: number,
): void {
  send(replica, {
    kind: "append_answer",
    ...envelope(replica, from),
    accepted: true,
    index,
    hintIndex: 0,
    hintTerm: 0,
  });
}

function reject(
  replica: Replica,
  { from, previousIndex, previousTerm }: AppendRequest,
): void {
  const hint = replica.log.lastWithTermAtMost(previousIndex, previousTerm);
  send(replica, {
    kind: "append_answer",
    ...envelope(replica, from),
    accepted: false,
    index: previousIndex,
    hintIndex: hint.index,
    hintTerm: hint.term,
  });
}

export function handleHeartbeat(replica: Replica, request: Heartbeat): void {
  recordLeaderContact(replica, request.from);
  commitTo(replica, request.commit);
  send(replica, {
    kind: "heartbeat_answer",
    ...envelope(replica, request.from),
    round: request.round,
  });
}

/** Collects the chunks of a snapshot and installs it when it is complete. */
export function handleSnapshot(
  replica: Replica,
  request: SnapshotRequest,
): void {
  recordLeaderContact(replica, request.from);
  const { head, chunk, last } = request;
  if (replica.log.has(head)) {
    commitTo(replica, head.index);
  }
  if (head.index <= replica.commit) {
    replica.partialSnapshot = undefined;
    answerChunk(replica, request, { offset: 0, installed: true });
    return;
  }
  const partial = partialOf(replica, request);
  if (partial.offset === request.offset) {
    partial.chunks.push(chunk);
    partial.offset += chunk.length;
    if (last) {
      install(replica, { ...head, data: new ChunkedText(partial.chunks) });
      answerChunk(replica, request, { offset: 0, installed: true });
      return;
    }
  }
  answerChunk(replica, request, { offset: partial.offset, installed: false });
}

function partialOf(
  replica: Replica,
  { term, head }: SnapshotRequest,
): PartialSnapshot {
  const { partialSnapshot } = replica;
  if (
    partialSnapshot?.leaderTerm === term && partialSnapshot.index === head.index
  ) {
    return partialSnapshot;
  }
  const fresh = {
    leaderTerm: term,
    index: head.index,
    chunks: [],
    offset: 0,
  };
  replica.partialSnapshot = fresh;
  return fresh;
}

function answerChunk(
  replica: Replica,
  { from, head }: SnapshotRequest,
  state: { offset: number; installed: boolean },
): void {
  send(replica, {
    kind: "snapshot_answer",
    ...envelope(replica, from),
    index: head.index,
    ...state,
  });
}

/** Replaces the whole log, since it does not hold the snapshot's last entry. */
function install(replica: Replica, snapshot: Snapshot): void {
  replica.log.install(snapshot);
  replica.partialSnapshot = undefined;
  replica.commit = snapshot.index;
  replica.applied = snapshot.index;
  replica.stable = snapshot.index;
  replica.outbox.installed = snapshot;
  replica.outbox.unsavedFrom = undefined;
}
