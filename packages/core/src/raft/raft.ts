/**
 * Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; Ongaro's thesis, 2014) as a
 * state machine that does no I/O. The driver passes events to it, takes its output, and stores, sends and applies that.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import { Err, Ok, type Result } from "../result.ts";
import { countOwnVote, tickElection } from "./election.ts";
import {
  advanceCommit,
  appendAsLeader,
  continueTransfer,
  nextPosition,
  tickLeader,
} from "./leader.ts";
import type { Membership, MembershipChange, ReplicaId } from "./member.ts";
import {
  checkChange,
  checkProposal,
  checkTransfer,
  notLeader,
} from "./admission.ts";
import type { RaftMessage } from "./message.ts";
import { openReplica, type RaftOptions } from "./open.ts";
import { hasOutput, type RaftOutput, takeOutput } from "./output.ts";
import { receive } from "./receive.ts";
import type { Snapshot, SnapshotMetadata } from "./record.ts";
import type { ProgressMode } from "./progress.ts";
import type { SnapshotText } from "./snapshot_text.ts";
import type { RaftRole, Replica } from "./replica.ts";
import { flushReads } from "./replication.ts";

/** Share of `maxLogSize` that the entries kept after a compaction may take up. */
const TRAILING_SIZE_RATIO = 0.25;

/** Size of the log above which a compaction is due, as a share of the snapshot's. */
const LOG_SIZE_RATIO = 0.25;

/** Size of the log below which no number of entries makes a compaction due, as a share of the snapshot's. */
const MIN_LOG_SIZE_RATIO = 0.0625;

/** State of one replica and its view of the group. */
export interface RaftStatus {
  replica: ReplicaId;
  role: RaftRole;
  term: number;
  leader: ReplicaId | undefined;
  commit: number;
  applied: number;
  lastIndex: number;
  /** Index of the snapshot below the log. */
  snapshotIndex: number;
}

/** Progress of another replica, as the leader sees it. */
export interface ReplicaProgress {
  replica: ReplicaId;
  mode: ProgressMode;
  match: number;
  /** Time since the replica's last answer, in milliseconds; infinite before its first answer in this term. */
  silentMs: number;
  /** Time for which this leader has tracked the replica, in milliseconds. */
  trackedMs: number;
}

/** Where proposed commands were appended: one index each, from `first` on. */
export interface Proposal {
  first: number;
  term: number;
}

/** One replica of a Raft group. */
export class Raft {
  readonly #replica: Replica;

  constructor(options: RaftOptions, now: number) {
    this.#replica = openReplica(options, now);
  }

  get status(): RaftStatus {
    const { id, role, hardState, leader, commit, applied, log } = this.#replica;
    return {
      replica: id,
      role,
      term: hardState.term,
      leader,
      commit,
      applied,
      lastIndex: log.last.index,
      snapshotIndex: log.snapshot?.index ?? 0,
    };
  }

  /** The membership in force, committed or not. */
  get membership(): Membership {
    return this.#replica.log.membership;
  }

  /** Progress of the other replicas; empty unless this one leads. */
  get progress(): ReplicaProgress[] {
    const { leadership, now } = this.#replica;
    const all = leadership?.progress.values() ?? [];
    return [...all].map((
      { replica, mode, match, contactAt, trackedSince },
    ) => ({
      replica,
      mode,
      match,
      silentMs: now - contactAt,
      trackedMs: now - trackedSince,
    }));
  }

  /** Advances the time; to be called at least four times within `heartbeatMs`. */
  tick(now: number): void {
    const replica = this.#advanceClock(now);
    if (replica.leadership !== undefined) {
      tickLeader(replica, replica.leadership);
    } else {
      tickElection(replica);
    }
  }

  /** Handles a message from another replica. */
  receive(message: RaftMessage, now: number): void {
    receive(this.#advanceClock(now), message);
  }

  /** Appends commands at the leader. They are committed when `takeOutput` returns them, under the same term. */
  propose(commands: readonly string[], now: number): Result<Proposal, Fault> {
    const replica = this.#advanceClock(now);
    return checkProposal(replica, commands).map(() => {
      const { index: first, term } = nextPosition(replica);
      commands.forEach((data, i) => {
        const index = first + i;
        appendAsLeader(replica, { kind: "command", index, term, data });
      });
      return { first, term };
    });
  }

  /**
   * Asks for a linearizable read at the leader. The output lists the context with an index once the leadership is
   * confirmed, or among the lost reads when the leader stepped down.
   */
  readIndex(context: string, now: number): Result<void, Fault> {
    const replica = this.#advanceClock(now);
    if (replica.leadership === undefined) {
      return Err(notLeader(replica));
    }
    replica.leadership.reads.add(context);
    flushReads(replica);
    return Ok.EMPTY;
  }

  /** Starts a membership change at the leader. Only one may be under way. */
  changeMembership(
    change: MembershipChange,
    now: number,
  ): Result<Proposal, Fault> {
    const replica = this.#advanceClock(now);
    return checkChange(replica, change).map((membership) => {
      const position = nextPosition(replica);
      const entry = { kind: "membership", ...position, membership } as const;
      appendAsLeader(replica, entry);
      return { first: position.index, term: position.term };
    });
  }

  /** Starts a transfer of the leadership to another voter. Proposals are refused until it succeeds or times out. */
  transferLeadership(to: ReplicaId, now: number): Result<void, Fault> {
    const replica = this.#advanceClock(now);
    return checkTransfer(replica, to).map((leadership) => {
      const deadline = now + replica.tuning.electionMs;
      leadership.transfer = { to, deadline };
      continueTransfer(replica);
    });
  }

  /**
   * Whether the log exceeds its limits and may be compacted at the applied index. The limits grow with the snapshot, so
   * that the time to write snapshots stays a share of the time to write the log.
   */
  get compactionDue(): boolean {
    const { log, tuning, applied, stable } = this.#replica;
    const snapshotLength = log.snapshot?.data.length ?? 0;
    const maxSize = Math.max(
      tuning.maxLogSize,
      snapshotLength * LOG_SIZE_RATIO,
    );
    const exceedsLimits = log.size > maxSize ||
      log.length > tuning.maxLogEntries &&
        log.size > snapshotLength * MIN_LOG_SIZE_RATIO;
    return exceedsLimits && applied > (log.snapshot?.index ?? 0) &&
      applied <= stable;
  }

  /** Position and membership of a snapshot at an applied index at which the log may be compacted. */
  snapshotAt(index: number): Result<SnapshotMetadata, Fault> {
    const { log, applied, stable } = this.#replica;
    const term = log.termAt(index);
    const floor = log.snapshot?.index ?? 0;
    const ceiling = Math.min(applied, stable);
    return term === undefined || index <= floor || index > ceiling
      ? Err(
        fault(
          "conflict",
          `Log cannot be compacted at ${index}; it must be above ${floor} and at most ${ceiling}`,
        ),
      )
      : Ok({ index, term, membership: log.membershipAt(index) });
  }

  /**
   * Replaces the log up to an applied entry by a snapshot of the state after it. The stored log must keep the entries
   * after the snapshot.
   */
  compact(index: number, data: SnapshotText): Result<Snapshot, Fault> {
    const { log, tuning } = this.#replica;
    return this.snapshotAt(index).map((metadata) => {
      const snapshot = { ...metadata, data };
      log.compact(snapshot, {
        entries: tuning.trailingEntries,
        size: tuning.maxLogSize * TRAILING_SIZE_RATIO,
      });
      return snapshot;
    });
  }

  /** Replaces the text of the snapshot at an index by an equal one, such as a file that holds it. */
  replaceSnapshotText(index: number, data: SnapshotText): void {
    const { log, leadership } = this.#replica;
    log.replaceSnapshotText(index, data);
    leadership?.progress.forEach(({ transmission }) => {
      if (transmission?.snapshot.index === index) {
        transmission.snapshot = { ...transmission.snapshot, data };
      }
    });
  }

  /** Index of the oldest snapshot that is being sent, or else of the newest one. */
  get oldestSnapshotInUse(): number {
    const { log, leadership } = this.#replica;
    const sent = [...leadership?.progress.values() ?? []].map(
      ({ transmission }) => transmission?.snapshot.index ?? Infinity,
    );
    return Math.min(log.snapshot?.index ?? 0, ...sent);
  }

  /** Whether `takeOutput` would return anything. */
  get hasOutput(): boolean {
    return hasOutput(this.#replica);
  }

  /** Takes what is to be stored, sent and applied. */
  takeOutput(): RaftOutput {
    return takeOutput(this.#replica);
  }

  /** Reports that the writes of an output, and of all outputs before it, are synced. */
  reportSynced(id: number, now: number): void {
    const replica = this.#advanceClock(now);
    const synced = replica.pendingWrites.filter((write) => write.id <= id);
    replica.pendingWrites = replica.pendingWrites.filter((write) =>
      write.id > id
    );
    for (const write of synced) {
      if (replica.log.termAt(write.lastIndex) === write.lastTerm) {
        replica.stable = Math.max(replica.stable, write.lastIndex);
      }
      const { term } = replica.hardState;
      if (write.term === term && write.vote === replica.id) {
        countOwnVote(replica);
      }
    }
    advanceCommit(replica);
  }

  #advanceClock(now: number): Replica {
    this.#replica.now = now;
    return this.#replica;
  }
}
