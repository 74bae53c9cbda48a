/**
 * Reports of workers at a replica. One that follows answers those that repeat what is stored, so that the leader gets only
 * the others: with some hundred workers, reports would be a tenth of its work.
 *
 * @module
 */
import { type Fault, Ok, type Result } from "@quetzalcove/core";
import {
  chooseRelay,
  isReportNews,
  type RelayCandidate,
  usableRelays,
  type Worker,
} from "@quetzalcove/core/scheduling";
import type { Metrics } from "../observe/metrics.ts";
import type { JobConsensus } from "./job_state_machine.ts";

/** Dependencies of the reports of workers. */
export interface WorkerReportsParts {
  /** IP address of this node. */
  host: string;
  consensus: Pick<JobConsensus, "state" | "leadership">;
  /** Whether this replica votes, so that it stops to name a leader that it has not heard for an election timeout. */
  isVoter: () => boolean;
  /** The other replicas, as a leader sees them. */
  candidates: () => RelayCandidate[];
  /** Reports a worker to the leader. */
  report: (worker: Worker) => Promise<Result<unknown, Fault>>;
  metrics: Metrics;
}

export class WorkerReports {
  readonly #parts: WorkerReportsParts;

  constructor(parts: WorkerReportsParts) {
    this.#parts = parts;
  }

  /** Answers a report that repeats what is stored; passes any other one on to the leader. */
  async receive(worker: Worker): Promise<Result<unknown, Fault>> {
    const { report, metrics } = this.#parts;
    const isAnsweredHere = this.#isFollower && this.#repeats(worker);
    metrics.count("quetzalcove_worker_reports_total", {
      answered: isAnsweredHere ? "here" : "leader",
    });
    return isAnsweredHere ? Ok({}) : await report(worker);
  }

  /** Host to which a worker should send its next reports: this one, or another replica if this one leads. */
  hostFor(worker: Pick<Worker, "id" | "zone">): string {
    const { host, consensus, candidates } = this.#parts;
    return consensus.leadership().isLeader
      ? chooseRelay(worker, usableRelays(candidates(), [])) ?? host
      : host;
  }

  /** Whether this replica follows a leader and has heard of it within an election timeout. */
  get #isFollower(): boolean {
    const { consensus, isVoter } = this.#parts;
    const { leader, isLeader } = consensus.leadership();
    return !isLeader && leader !== undefined && isVoter();
  }

  #repeats(worker: Worker): boolean {
    const { state } = this.#parts.consensus;
    return state.plan.pools.some(({ name }) => name === worker.pool) &&
      !isReportNews(worker, state.workers.get(worker.id));
  }
}
