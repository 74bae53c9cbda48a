/**
 * Throttles the best-effort runs on one worker by the tail latency of the latency-sensitive runs there.
 *
 * @module
 */
import {
  type ListedRun,
  type Listing,
  nextSpeedPercent,
  parseTaskName,
  runName,
  type StepSpec,
  type TailLatency,
  type Worker,
} from "@quetzalcove/core/scheduling";
import type { Log } from "../observe/log.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import type { WorkerClient } from "./platform_clients.ts";

/** Dependencies of a pacer. */
export interface PacerParts {
  consensus: JobConsensus;
  client: WorkerClient;
  term: number;
  log: Log;
}

/** Minimum time between two decisions: the window over which workers measure tail latency. */
const DECISION_INTERVAL_MS = 500;

/** Speed at which a run starts. */
const FULL_SPEED_PERCENT = 100;

export class Pacer {
  readonly #parts: PacerParts;
  #percent = FULL_SPEED_PERCENT;
  #decidedAt = -Infinity;
  /** Speed last accepted by the worker, in percent, by task and run. */
  readonly #appliedPercents = new Map<string, number>();

  constructor(parts: PacerParts) {
    this.#parts = parts;
  }

  /** Adjusts the speed after a listing of the worker, and sends it to the best-effort runs that have another one. */
  update(worker: Worker, { running }: Listing, now: number): void {
    const load = this.#parts.consensus.state.load(worker.id);
    const bestEffortRuns = load.bestEffortRuns === 0
      ? []
      : running.filter(({ task }) => this.#specOf(task)?.fills);
    if (bestEffortRuns.length === 0) {
      this.#appliedPercents.clear();
      return;
    }
    const tails = running.flatMap((row) => this.#tailOf(row));
    if (now - this.#decidedAt >= DECISION_INTERVAL_MS) {
      this.#decidedAt = now;
      const percent = nextSpeedPercent(this.#percent, tails);
      if (percent !== this.#percent) {
        this.#parts.log.info("worker.paced", { worker: worker.id, percent });
      }
      this.#percent = percent;
    }
    bestEffortRuns.forEach((row) => void this.#send(worker, row));
  }

  #tailOf({ task, gauge }: ListedRun): TailLatency[] {
    const targetMs = this.#specOf(task)?.targetLatencyMs ?? 0;
    return targetMs > 0 ? [{ tailMs: gauge, targetMs }] : [];
  }

  #specOf(task: string): StepSpec | undefined {
    const position = parseTaskName(task);
    return position && this.#parts.consensus.state.stepOf(position);
  }

  async #send(worker: Worker, { task, run }: ListedRun): Promise<void> {
    const key = runName({ task, run });
    const percent = this.#percent;
    const applied = this.#appliedPercents.get(key) ?? FULL_SPEED_PERCENT;
    if (applied === percent) {
      return;
    }
    this.#appliedPercents.set(key, percent);
    const order = { task, run, fence: this.#parts.term };
    const { answer } = await this.#parts.client.pace(worker, order, percent);
    if (!answer) {
      // Not accepted: sent again after the next listing.
      this.#appliedPercents.set(key, applied);
    }
  }
}
