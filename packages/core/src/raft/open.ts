/**
 * Opens a replica from its stored state.
 *
 * @module
 */
import { Log } from "./log.ts";
import type { ReplicaId } from "./member.ts";
import type { HardState, StoredState } from "./record.ts";
import {
  DEFAULT_TUNING,
  emptyOutbox,
  type RaftTuning,
  type Replica,
} from "./replica.ts";

/** Options of a replica. */
export interface RaftOptions {
  replica: ReplicaId;
  stored: StoredState;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
  /** When this process started, in milliseconds; the present time if it is undefined. */
  processStart?: number;
  tuning?: Partial<RaftTuning>;
}

/** A follower without a leader, with the stored term, vote and log. */
export function openReplica(
  { replica: id, stored, random, tuning, processStart }: RaftOptions,
  now: number,
): Replica {
  const contactAt = processStart ?? now;
  const { electionMs } = { ...DEFAULT_TUNING, ...tuning };
  const log = new Log(stored);
  return {
    id,
    tuning: { ...DEFAULT_TUNING, ...tuning },
    random,
    log,
    now,
    role: "follower",
    hardState: hardStateOf(stored, log),
    leader: undefined,
    // An earlier process may have answered a leader right before this one started, so this replica must not help elect
    // another within an election timeout of that.
    leaderContactAt: contactAt,
    electionAt: Math.max(now, contactAt + electionMs) + electionMs * random(),
    granted: new Set(),
    refused: new Set(),
    leadership: undefined,
    commit: log.base.index,
    stable: log.last.index,
    applied: log.base.index,
    partialSnapshot: undefined,
    outbox: emptyOutbox(),
    pendingWrites: [],
    outputCount: 0,
  };
}

/** Raises the term to that of the log, which a crash between storing a snapshot and its hard state can leave ahead. */
function hardStateOf({ hardState }: StoredState, log: Log): HardState {
  const { term } = log.last;
  return term > hardState.term ? { term } : hardState;
}
