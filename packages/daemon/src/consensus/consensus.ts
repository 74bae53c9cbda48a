/**
 * The replicated state as the rest of the daemon uses it.
 *
 * @module
 */
import type {
  Command,
  CommandOutput,
  Fault,
  Result,
  State,
} from "@quetzalcove/core";

/** The leadership as far as this replica knows it. */
export interface Leadership {
  term: number;
  /** Name of the entry that leads; undefined while no leader is known. */
  leader: string | undefined;
  isLeader: boolean;
}

/** The status of one member of the group. */
export interface ReplicaStatus {
  replica: string;
  entry: string;
  zone: string;
  role: "leader" | "follower" | "learner";
  /** Highest log index known to be stored on it. */
  matched: number;
  caughtUp: boolean;
}

/** A deterministic state machine to which the commands of the log are applied. */
export interface StateMachine<S, C, O> {
  empty(): S;
  /** Applies a command in place. */
  apply(state: S, command: C): Result<O, Fault>;
  /**
   * The state as lines of JSON, without their ends. They are taken one after the other while commands are applied, and
   * tell of the state as it is now.
   */
  encode(state: S): Iterable<string>;
  decode(lines: Iterable<string>): S;
}

export interface Consensus<S = State, C = Command, O = CommandOutput> {
  /** The state after all applied commands; read-only for callers. */
  readonly state: S;
  leadership(): Leadership;
  /**
   * Proposes a command at the leader and reports what applying it returned. `no_leader` and `timeout` mean that the
   * command may still be applied; every command is idempotent, so it may be proposed again.
   */
  propose(command: C): Promise<Result<O, Fault>>;
  /** Resolves once leadership is confirmed and everything committed before the call is applied (read barrier). */
  barrier(): Promise<Result<void, Fault>>;
  replicas(): ReplicaStatus[];
  /** Calls a listener after each batch of applied commands and each change of leadership. */
  onChange(listener: () => void): void;
}
