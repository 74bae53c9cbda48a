/**
 * What the rest of the daemon sees of the replicated state.
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

/** Who leads, as far as this replica knows. */
export interface Leadership {
  term: number;
  /** Entry that leads, or undefined while there is no leader. */
  leader: string | undefined;
  isLeader: boolean;
}

/** One replica as the status shows it. */
export interface ReplicaStatus {
  replica: string;
  entry: string;
  zone: string;
  role: "leader" | "follower" | "learner";
  matched: number;
  caughtUp: boolean;
}

/** A deterministic state machine that the log drives. */
export interface StateMachine<S, C, O> {
  empty(): S;
  /** Applies a command in place. */
  apply(state: S, command: C): Result<O, Fault>;
  encode(state: S): string;
  decode(text: string): S;
}

export interface Consensus<S = State, C = Command, O = CommandOutput> {
  /** The applied state. Only the consensus task changes it. */
  readonly state: S;
  leadership(): Leadership;
  /**
   * Proposes a command at the leader and reports what applying it returned. `no_leader` and `timeout` mean that the
   * command may still be applied; every command is idempotent, so it may be proposed again.
   */
  propose(command: C): Promise<Result<O, Fault>>;
  /** Confirms leadership and waits until the applied state holds all that was committed before the call. */
  barrier(): Promise<Result<void, Fault>>;
  replicas(): ReplicaStatus[];
  /** Calls a listener after each batch of applied commands and each change of leadership. */
  onChange(listener: () => void): void;
}
