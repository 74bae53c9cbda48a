/**
 * A fleet of workers for tests of a leadership term: tasks end after a while, and some crash the worker that starts
 * them. Time is that of fake timers.
 *
 * @module
 */
import type {
  JobStore,
  ListedEnd,
  ListedRun,
  Worker,
} from "@quetzalcove/core/scheduling";
import { listing } from "../../core/test/scheduling_fixture.ts";
import type {
  CalledWorker,
  RenewalAnswer,
  RunOrder,
  StartOrder,
  WorkerClient,
  WorkerRenewal,
} from "../src/scheduler/platform_clients.ts";

/** Behaviour of the fleet, in milliseconds. */
export interface FleetBehaviour {
  /** Duration of a task that ends. */
  taskMs: number;
  /** Time from the start of a crashing task to the crash. */
  crashAfterMs: number;
  /** Time from a crash to the report of the next incarnation. */
  downMs: number;
  /** Whether a task crashes the worker that starts it. */
  crashes: (task: string) => boolean;
  /** Whether workers restart under their ids, and whether a report tells so; new incarnations by default. */
  restarts?: "reported" | "unreported";
}

/** One-way delay of a call. */
const DELAY_MS = 2;

/** Clock of a worker when it starts, in milliseconds. */
const FIRST_CLOCK_MS = 1_000;

class SimulatedWorker {
  isUp = true;
  readonly bornAtMs = Date.now();
  readonly running = new Map<string, ListedRun>();
  readonly ended: ListedEnd[] = [];
  endCount = 0;

  /** Its clock, which starts anew with each life. */
  get clockMs(): number {
    return Date.now() - this.bornAtMs + FIRST_CLOCK_MS;
  }

  end(task: string, run: number, how: ListedEnd["how"]): void {
    if (this.isUp && this.running.get(task)?.run === run) {
      this.running.delete(task);
      this.endCount += 1;
      this.ended.push({
        number: this.endCount,
        task,
        run,
        how,
        checkpoint: "",
      });
    }
  }
}

export class SimulatedFleet implements WorkerClient {
  /** Starts that workers executed. */
  readonly starts: { task: string; run: number; worker: string }[] = [];
  readonly #jobStore: JobStore;
  readonly #behaviour: FleetBehaviour;
  readonly #workers = new Map<string, SimulatedWorker>();
  /** Worker that answers at an address. */
  readonly #atAddress = new Map<string, string>();

  constructor(
    jobStore: JobStore,
    workers: readonly Worker[],
    behaviour: FleetBehaviour,
  ) {
    this.#jobStore = jobStore;
    this.#behaviour = behaviour;
    workers.forEach((worker) => this.#boot(worker));
  }

  /** How often the runs of a task were started. */
  startsOf(task: string): number {
    return this.starts.filter((start) => start.task === task).length;
  }

  async start(
    { id, address }: CalledWorker,
    { task, run }: StartOrder,
  ): ReturnType<WorkerClient["start"]> {
    await delay(DELAY_MS);
    const worker = this.#workerAt(id, address);
    if (typeof worker === "string") {
      return { answer: worker, clockMs: undefined };
    }
    const { taskMs, crashAfterMs, crashes } = this.#behaviour;
    this.starts.push({ task, run, worker: id });
    worker.running.set(task, {
      task,
      run,
      checkpoint: "",
      percent: 0,
      gauge: 0,
    });
    if (crashes(task)) {
      setTimeout(() => this.crash(id), crashAfterMs);
    } else {
      setTimeout(() => worker.end(task, run, "done"), taskMs);
    }
    const { clockMs } = worker;
    await delay(DELAY_MS);
    return { answer: "started", clockMs };
  }

  async stop(
    { id, address }: CalledWorker,
    { task, run }: RunOrder,
  ): ReturnType<WorkerClient["stop"]> {
    await delay(DELAY_MS);
    const worker = this.#workerAt(id, address);
    if (typeof worker === "string") {
      return { answer: false, clockMs: undefined };
    }
    worker.end(task, run, "stopped");
    return { answer: true, clockMs: worker.clockMs };
  }

  pace(): ReturnType<WorkerClient["pace"]> {
    return Promise.resolve({ answer: true, clockMs: undefined });
  }

  async renew(
    { id, address }: CalledWorker,
    { waitMs, seenEnds }: WorkerRenewal,
  ): Promise<RenewalAnswer> {
    const until = Date.now() + waitMs;
    do {
      await delay(DELAY_MS);
      const worker = this.#workerAt(id, address);
      if (worker === "no_answer") {
        return { kind: "no_answer", reason: "other side closed" };
      }
      if (worker === "other_worker") {
        return { kind: "other_worker" };
      }
      const ended = worker.ended.filter(({ number }) => number > seenEnds);
      if (ended.length > 0 || Date.now() >= until) {
        const running = [...worker.running.values()];
        return {
          kind: "listing",
          listing: listing({ running, ended }),
          clockMs: worker.clockMs,
          bornAtMs: this.#behaviour.restarts && worker.bornAtMs,
        };
      }
    } while (true);
  }

  disconnect(): void {}

  /** Crashes a worker; its next incarnation reports after a while. */
  crash(id: string): void {
    const worker = this.#workers.get(id);
    const record = this.#jobStore.workers.get(id);
    if (worker?.isUp !== true || record === undefined) {
      return;
    }
    worker.isUp = false;
    setTimeout(() => {
      const { restarts } = this.#behaviour;
      const next = restarts === undefined
        ? { ...record, id: `${id}+` }
        : { ...record, bornAtMs: Date.now() };
      this.#boot(next);
      if (restarts !== "unreported") {
        this.#jobStore.apply({ kind: "join", workers: [next] });
      }
    }, this.#behaviour.downMs);
  }

  #boot({ id, address }: Worker): void {
    this.#workers.set(id, new SimulatedWorker());
    this.#atAddress.set(address, id);
  }

  #workerAt(
    id: string,
    address: string,
  ): SimulatedWorker | "no_answer" | "other_worker" {
    if (this.#atAddress.get(address) !== id) {
      return "other_worker";
    }
    const worker = this.#workers.get(id);
    return worker?.isUp === true ? worker : "no_answer";
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
