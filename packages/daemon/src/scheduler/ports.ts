/**
 * What the scheduler needs from the platform it runs on.
 *
 * @module
 */
import type {
  Listing,
  StartAnswer,
  Worker,
} from "@quetzalcove/core/scheduling";

/** An order to start a run. Times are on the worker's clock, in milliseconds. */
export interface StartOrder {
  task: string;
  run: number;
  /** Text of the job. */
  text: string;
  leaseDeadlineMs: number;
  fence: number;
  /** Checkpoint to resume from; empty for none. */
  checkpoint: string;
  /** The advisor's permit; empty where none is needed. */
  permit: string;
}

/** An order that concerns one run. */
export interface RunOrder {
  task: string;
  run: number;
  fence: number;
}

/** Renewal of the lease of a worker. */
export interface Renewal {
  fence: number;
  /** Undefined until the worker's clock is known. */
  leaseDeadlineMs: number | undefined;
  /** Ends up to this number are settled; the worker may forget them. */
  seenEnds: number;
  /** How long the answer may wait for an end, in milliseconds. */
  waitMs: number;
}

/** Answer to an order, and the worker's clock where it tells. */
export interface AnswerWithClock<T> {
  answer: T;
  clockMs: number | undefined;
}

export type RenewalAnswer =
  | { kind: "listing"; listing: Listing; clockMs: number }
  /** Another worker has the address. */
  | { kind: "other_worker" }
  | { kind: "fenced" }
  | { kind: "no_answer"; reason: string };

/** Calls at workers. Every call ends by its deadline. */
export interface WorkerCalls {
  start(
    worker: Worker,
    order: StartOrder,
  ): Promise<AnswerWithClock<StartAnswer>>;
  stop(worker: Worker, order: RunOrder): Promise<AnswerWithClock<boolean>>;
  renew(worker: Worker, renewal: Renewal): Promise<RenewalAnswer>;
  /** Sets the share of full speed of a run that fills, in percent. */
  pace(
    worker: Worker,
    order: RunOrder,
    percent: number,
  ): Promise<AnswerWithClock<boolean>>;
  /** Closes the connections to a worker. */
  forget(worker: Worker): void;
}

/** A VM as the platform lists it. */
export interface ListedVm {
  vm: string;
  pool: string;
  state: "up" | "moving" | "upkeep" | "down";
  cores: number;
}

/** An order that concerns one VM. The fence rises with each order for any VM. */
export interface VmOrder {
  vm: string;
  holder: string;
  fence: number;
}

export type VmAnswer =
  /** Carried out, now or before; everything on the VM has ended. */
  | "done"
  /** The VM is not up, or is leaving. */
  | "busy"
  /** A higher fence was used. */
  | "fenced"
  /** The platform does not know the VM, or it does not fit the pool or wave. */
  | "refused"
  /** The platform takes no more orders at present. */
  | "throttled"
  /** The order may have been carried out. */
  | "no_answer";

/** Calls at the platform's list of VMs. Every call ends by its deadline. */
export interface FleetCalls {
  /** All VMs, or undefined when the list could not be read in full. */
  list(): Promise<ListedVm[] | undefined>;
  move(order: VmOrder, pool: string): Promise<VmAnswer>;
  maintain(order: VmOrder, wave: number): Promise<VmAnswer>;
}

/** Which workers may run a step, and the permits that their orders must carry. */
export interface Advice {
  /** Permits by worker. */
  permits: ReadonlyMap<string, string>;
  validityMs: number;
}

/** Calls at the advisor. It answers one call of a node at a time. */
export interface AdviceCalls {
  /** Undefined when the advisor gave no advice. */
  advise(step: string, workers: readonly string[]): Promise<Advice | undefined>;
}
