/**
 * Opens a replica from its stored state.
 *
 * @module
 */
import { Log } from "./log.ts";
import type { ReplicaId } from "./member.ts";
import type { HardState, Stored } from "./record.ts";
import {
  DEFAULT_TUNING,
  emptyOutbox,
  type Replica,
  resetElectionTimer,
  type Tuning,
} from "./replica.ts";

/** What a replica starts from. */
export interface RaftSetup {
  replica: ReplicaId;
  stored: Stored;
  /** A number from 0 to 1, without 1. */
  random: () => number;
  tuning?: Partial<Tuning>;
}

/** A follower without a leader, with the stored term, vote and log. */
export function openReplica(
  { replica: id, stored, random, tuning }: RaftSetup,
  now: number,
): Replica {
  const log = new Log(stored);
  const replica: Replica = {
    id,
    tuning: { ...DEFAULT_TUNING, ...tuning },
    random,
    log,
    now,
    role: "follower",
    hardState: hardStateOf(stored, log),
    leader: undefined,
    // It may have answered a leader right before it stopped, so it is loyal for one election timeout.
    leaderContactAt: now,
    electionAt: now,
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
  resetElectionTimer(replica);
  return replica;
}

/** A crash between an installed snapshot and its hard state can leave a log that is ahead of the stored term. */
function hardStateOf({ hardState }: Stored, log: Log): HardState {
  const { term } = log.last;
  return term > hardState.term ? { term } : hardState;
}
