/**
 * Inputs and decisions of the router.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import type { Priority } from "../names.ts";

/** A request to be sent to a target of a service. */
export interface Submission {
  id: string;
  service: string;
  priority: Priority;
  /** Deadline of the answer, in milliseconds on the router's monotonic clock. */
  deadline: number;
  /** Whether the request is idempotent, so that it may run twice. */
  repeatable: boolean;
}

/** A target of a service. */
export interface Route {
  /** Name of the target, as announced. */
  target: string;
  service: string;
  address: string;
  slots: number;
  connections: number;
  /** A target that is leaving or absent receives no new requests. */
  state: "serving" | "leaving" | "absent";
}

/** Configuration of a service. */
export interface ServiceConfig {
  name: string;
  /** Maximum number of queued requests at this entry. */
  maxQueue: number;
  /** Declared run time in milliseconds, used until runs have been observed. */
  expectedRunMs?: number;
}

/**
 * How an attempt at a target ended.
 *
 * - `ok`: the answer was read completely.
 * - `failed`: the request may have run, and there is no usable answer.
 * - `refused`: the target answered that it did not run the request.
 * - `unreachable`: the connection failed before a byte was sent.
 * - `unsent`: the entry decided not to send the request and has answered the caller.
 * - `reroute`: the entry did not send the request because `mayStart` returned false; it is queued again.
 */
export type Completion =
  | "ok"
  | "failed"
  | "refused"
  | "unreachable"
  | "unsent"
  | "reroute";

/**
 * A decision of the router about one request.
 *
 * - `send`: forward the request to the target now, and call `complete` at the end.
 * - `queue`: the request is queued at this entry; another decision follows.
 * - `refuse`: answer with the fault; the request did not run.
 * - `fail`: answer with the failure of the last attempt; there are no more retries. `mayHaveRun` covers all attempts.
 * - `timeout`: answer with the fault; the attempt continues and keeps its slot until `complete`.
 */
export type RoutingDecision =
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
