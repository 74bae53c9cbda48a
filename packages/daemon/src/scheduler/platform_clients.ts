/**
 * Clients of the platform that the scheduler is given: workers, VM API and advisor.
 *
 * @module
 */
import type {
  Listing,
  StartAnswer,
  VmShape,
  Worker,
} from "@quetzalcove/core/scheduling";

/** What identifies a worker to a client. */
export type CalledWorker = Pick<Worker, "id" | "address">;

/** An order to start a run. */
export interface StartOrder {
  task: string;
  run: number;
  /** Text of the job. */
  text: string;
  /** On the worker's clock. */
  leaseDeadlineMs: number;
  /** Fencing token: the leader's term. */
  fence: number;
  /** Checkpoint to resume from; empty for none. */
  checkpoint: string;
  /** The advisor's permit; empty if none is needed. */
  permit: string;
}

/** An order that concerns one run. */
export interface RunOrder {
  task: string;
  run: number;
  fence: number;
}

/** Renews the lease of a worker and asks for a listing of its runs. */
export interface WorkerRenewal {
  fence: number;
  /** On the worker's clock; undefined until a clock reading has arrived. */
  leaseDeadlineMs: number | undefined;
  /** Ended runs up to this number are committed; the worker may delete them. */
  seenEnds: number;
  /** Long poll: how long the worker may delay its answer until a run ends, in milliseconds. */
  waitMs: number;
  /** Deadline of the answer beyond that, in milliseconds. */
  timeoutMs: number;
}

/** Answer to an order, and the time on the worker's clock if the answer has it. */
export interface AnswerWithClock<T> {
  answer: T;
  clockMs: number | undefined;
}

/** Answer to a start. */
export interface StartReply extends AnswerWithClock<StartAnswer> {
  /** Whether another copy of the start got no answer, so that it may still be carried out by a later life. */
  isCopyInDoubt?: boolean | undefined;
  /** How one copy was refused while another got no answer, for the log: the start itself counts as unanswered. */
  refusedCopy?: StartAnswer | undefined;
}

export type RenewalAnswer =
  | {
    kind: "listing";
    listing: Listing;
    clockMs: number;
    /** Birth of the worker that answered, in Unix milliseconds; undefined where the platform does not say. */
    bornAtMs?: number | undefined;
  }
  /** Another worker now has the address. */
  | { kind: "other_worker" }
  | { kind: "fenced" }
  | { kind: "no_answer"; reason: string };

/** Client for workers. Every call ends by its deadline. */
export interface WorkerClient {
  start(
    worker: CalledWorker,
    order: StartOrder,
  ): Promise<StartReply>;
  stop(
    worker: CalledWorker,
    order: RunOrder,
  ): Promise<AnswerWithClock<boolean>>;
  renew(worker: CalledWorker, renewal: WorkerRenewal): Promise<RenewalAnswer>;
  /** Sets the speed of a best-effort run, in percent of full speed. */
  pace(
    worker: CalledWorker,
    order: RunOrder,
    percent: number,
  ): Promise<AnswerWithClock<boolean>>;
  /** Closes the connections to a worker. */
  disconnect(worker: CalledWorker): void;
}

/** A VM in the platform's list. */
export interface ListedVm {
  vm: string;
  pool: string;
  /** `unknown` if its record cannot be read; then only its name is known. */
  state: "up" | "moving" | "upkeep" | "down" | "unknown";
  cores: number;
  /** Undefined if its record cannot be read. */
  shape: VmShape | undefined;
  /** Worker on the VM; empty if there is none, undefined if the platform does not say. */
  worker: string | undefined;
}

/** The platform's list of VMs. */
export interface VmList {
  vms: ListedVm[];
  /** Records that do not name their VM; if there are any, a VM that is not listed may still exist. */
  unnamedRecords: number;
}

/** An order that concerns one VM. The fencing token rises with each order, whichever the VM. */
export interface VmOrder {
  vm: string;
  holder: string;
  fence: number;
}

export type VmAnswer =
  /** Carried out, now or earlier; the workers that the VM had have ended. */
  | "done"
  /** The VM is not up, or is leaving. */
  | "busy"
  /** The platform has seen a higher fencing token. */
  | "fenced"
  /** The platform does not know the VM, or the VM does not fit the pool or wave. */
  | "refused"
  /** Rate limit: the platform accepts no more orders at present. */
  | "throttled"
  /** No answer arrived; the order may have been carried out. */
  | "no_answer";

/** Client for the platform's VM API. Every call ends by its deadline. */
export interface VmClient {
  /** All VMs, or undefined when the list could not be read in full. */
  list(): Promise<VmList | undefined>;
  move(order: VmOrder, pool: string): Promise<VmAnswer>;
  maintain(order: VmOrder, wave: number): Promise<VmAnswer>;
}

/** Which workers may run a step, and the permits that their orders must carry. */
export interface Advice {
  /** Permits by worker. */
  permits: ReadonlyMap<string, string>;
  validityMs: number;
}

/** Client for the advisor, which answers only one call of a node at a time. */
export interface AdvisorClient {
  /** Returns undefined if the advisor gave no advice. */
  advise(step: string, workers: readonly string[]): Promise<Advice | undefined>;
}
