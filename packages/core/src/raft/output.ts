/**
 * The output of a replica: what its driver stores, sends and applies.
 *
 * @module
 */
import type { RaftMessage } from "./message.ts";
import type { HardState, LogEntry, Snapshot } from "./record.ts";
import { emptyOutbox, type Replica } from "./replica.ts";
import { replicate } from "./replication.ts";

/** Limit on the committed entries in one output. */
const MAX_COMMITTED_ENTRIES = 1_024;

/** What is to be stored, in this order: the snapshot, the hard state and the entries. */
export interface RaftWrite {
  hardState?: HardState;
  /** A snapshot from the leader that replaces the whole log and state machine. */
  installed?: Snapshot;
  /** Entries without gaps; they replace all stored entries from the first one's index on. */
  entries: LogEntry[];
}

/** Everything the driver has to do after an event, in the order given in the README. */
export interface RaftOutput {
  /** To be passed to `reportSynced` once the write, and all writes before it, are synced. */
  id: number;
  write: RaftWrite;
  /** To be sent at once. */
  messages: RaftMessage[];
  /** To be sent only after the write, and all writes before it, are synced. */
  messagesAfterSync: RaftMessage[];
  /** Entries to be applied in order, after an installed snapshot was restored. */
  committed: LogEntry[];
  /** Reads that may be served once the entries up to `index` are applied. */
  reads: { context: string; index: number }[];
  /** Contexts of reads that this replica cannot serve because it stepped down. */
  lostReads: string[];
}

/** Whether `takeOutput` would return anything. */
export function hasOutput(replica: Replica): boolean {
  const { outbox, leadership } = replica;
  if (leadership !== undefined) {
    replicate(replica, leadership);
  }
  return outbox.messages.length > 0 || outbox.messagesAfterSync.length > 0 ||
    outbox.hardStateChanged || outbox.installed !== undefined ||
    outbox.unsavedFrom !== undefined || outbox.reads.length > 0 ||
    outbox.lostReads.length > 0 || replica.applied < replica.commit;
}

/** Empties the outbox into an output. */
export function takeOutput(replica: Replica): RaftOutput {
  if (replica.leadership !== undefined) {
    replicate(replica, replica.leadership);
  }
  const { outbox } = replica;
  replica.outbox = emptyOutbox();
  replica.outputCount += 1;
  const write = writeOf(replica, outbox);
  recordPendingWrite(replica);
  const committed = replica.log.slice(
    replica.applied + 1,
    Math.min(MAX_COMMITTED_ENTRIES, replica.commit - replica.applied),
  );
  replica.applied += committed.length;
  const { messages, messagesAfterSync, reads, lostReads } = outbox;
  return {
    id: replica.outputCount,
    write,
    messages,
    messagesAfterSync,
    committed,
    reads,
    lostReads,
  };
}

function writeOf(replica: Replica, outbox: Replica["outbox"]): RaftWrite {
  const { unsavedFrom, installed, hardStateChanged } = outbox;
  const entries = unsavedFrom === undefined
    ? []
    : replica.log.slice(unsavedFrom);
  return {
    ...(hardStateChanged && { hardState: replica.hardState }),
    ...(installed !== undefined && { installed }),
    entries,
  };
}

function recordPendingWrite(replica: Replica): void {
  const { hardState, log } = replica;
  replica.pendingWrites.push({
    id: replica.outputCount,
    lastIndex: log.last.index,
    lastTerm: log.last.term,
    term: hardState.term,
    vote: hardState.vote,
  });
}
