/**
 * What the router is told about requests and targets, and what it decides.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import type { Priority } from "../names.ts";
import type { Admission } from "./admission.ts";

/** A request that asks for a slot at a target. */
export interface Submission {
  id: string;
  service: string;
  priority: Priority;
  /** Time by which the caller needs the answer. */
  deadline: number;
  /** Whether running it twice does no harm. */
  repeatable: boolean;
}

/** A target as the router sees it. */
export interface Route {
  /** Name of the target, as announced. */
  target: string;
  service: string;
  address: string;
  slots: number;
  connections: number;
  /** A target that is leaving or absent receives nothing new. */
  state: "serving" | "leaving" | "absent";
}

/** A service as the router sees it. */
export interface RoutedService {
  name: string;
  /** Requests that may wait at this entry. */
  maxQueue: number;
  /** Declared run time, used until runs have been observed. */
  expectedRunMs?: number;
}

/**
 * How an attempt at a target ended.
 *
 * - `ok`: the whole answer was read.
 * - `failed`: it may have run, and there is no usable answer.
 * - `refused`: the target said that it did not run it.
 * - `unreachable`: the connection failed before a byte was sent.
 * - `unsent`: the entry decided not to send it and has answered the caller.
 * - `reroute`: the entry did not send it, because `mayStart` said no; it waits for another slot.
 */
export type Completion =
  | "ok"
  | "failed"
  | "refused"
  | "unreachable"
  | "unsent"
  | "reroute";

/**
 * What to do with one request.
 *
 * - `send`: forward it to the target now; end with `complete`.
 * - `queue`: it waits at this entry; a later decision follows.
 * - `refuse`: answer the fault; the request did not run.
 * - `fail`: answer the failure of the last attempt; it is not tried again. `mayHaveRun` covers all its attempts.
 * - `timeout`: answer the fault; the attempt goes on and keeps its slot until `complete`.
 */
export type Dispatch =
  | {
    kind: "send";
    id: string;
    target: string;
    address: string;
    attempt: number;
  }
  | { kind: "queue"; id: string }
  | { kind: "refuse"; id: string; fault: Fault }
  | { kind: "fail"; id: string; completion: Completion; mayHaveRun: boolean }
  | { kind: "timeout"; id: string; target: string; fault: Fault };

/** What a router is built with. */
export interface RouterOptions {
  entry: string;
  incarnation: number;
  /** Random numbers in [0, 1). */
  random: () => number;
  admission?: Admission;
}
