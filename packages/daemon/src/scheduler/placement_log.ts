/**
 * Logs what placement passes decided: placed steps, customers that wait, and workers held for large steps.
 *
 * @module
 */
import {
  latestStart,
  type LookAhead,
  type StepPlacement,
  type StepWait,
  type WaitingStep,
  type WaitReason,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { Log } from "../observe/log.ts";
import { BACKLOG_LOG_INTERVAL_MS } from "./backlog_log.ts";
import { logCustomerWaits } from "./customer_wait_log.ts";

export class PlacementLog {
  readonly #log: Log;
  readonly #estimate: WorkEstimate;
  #customerWaitsLoggedAt = -Infinity;

  constructor(log: Log, estimate: WorkEstimate) {
    this.#log = log;
    this.#estimate = estimate;
  }

  /**
   * Logs one line for each step of which tasks were placed, with the time left to its latest start at `wallNow`, in
   * wall-clock milliseconds, and the reason why others still wait.
   */
  logPlacements(
    placements: readonly StepPlacement[],
    waits: readonly StepWait[],
    wallNow: number,
  ): void {
    if (placements.length === 0) {
      return;
    }
    const reasons = new Map<WaitingStep, WaitReason>(
      waits.map(({ step, reason }) => [step, reason]),
    );
    for (const { step, runs } of placements) {
      this.#log.info("step.placed", {
        step: step.name,
        tasks: runs.length,
        waiting: step.indices.size - runs.length,
        workers: new Set(runs.map(({ worker }) => worker)).size,
        slackMs: Math.round(latestStart(step, this.#estimate) - wallNow),
        reason: reasons.get(step),
      });
    }
  }

  /** Logs the customers that wait, if that is due. */
  logCustomerWaits(waits: readonly StepWait[], now: number): void {
    if (now - this.#customerWaitsLoggedAt >= BACKLOG_LOG_INTERVAL_MS) {
      this.#customerWaitsLoggedAt = now;
      logCustomerWaits(waits, this.#log);
    }
  }

  /** Logs the workers that were given at `now` to a large step which has waited too long. */
  logHolds(reservations: LookAhead["reservations"], now: number): void {
    for (const plan of reservations.values()) {
      for (const { step, worker, startsAt, since, isHeld } of plan) {
        if (isHeld && since === now) {
          const startsInMs = Math.round(startsAt - now);
          this.#log.info("step.holds", { step, worker, startsInMs });
        }
      }
    }
  }
}
