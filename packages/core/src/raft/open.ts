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

/** Largest difference of the clock rates of two machines; a lease may last longer on this replica's clock by this. */
const MAX_CLOCK_DRIFT = 0.02;

/** A follower without a leader, with the stored term, vote and log. */
export function openReplica(
  { replica: id, stored, random, tuning, processStart }: RaftOptions,
  now: number,
): Replica {
  const tuned = { ...DEFAULT_TUNING, ...tuning };
  const leaseEndsAt = (processStart ?? now) +
    tuned.leaseMs * (1 + MAX_CLOCK_DRIFT);
  const log = new Log(stored);
  return {
    id,
    tuning: tuned,
    random,
    log,
    now,
    role: "follower",
    hardState: hardStateOf(stored, log),
    leader: undefined,
    // An earlier process may have answered a leader right before this one started, so this replica must not help elect
    // another while that leader may hold a lease by this answer.
    leaderContactAt: leaseEndsAt - tuned.electionMs,
    hasHeardLeader: false,
    electionAt: Math.max(now, leaseEndsAt) + tuned.heartbeatMs * random(),
    granted: new Set(),
    refused: new Set(),
    heldPreVotes: new Map(),
    leadership: undefined,
    commit: log.base.index,
    stable: log.last.index,
    applied: log.base.index,
    partialSnapshot: undefined,
    partialEntry: undefined,
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
