/**
 * Capacity of a worker that is reserved for a step, during one placement pass.
 *
 * @module
 */
import { reservation, type Resources } from "../model/batch_job.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { WorkerReservation } from "./worker_reservation.ts";
import { addInPlace, covers } from "../model/resource_sum.ts";

export interface ReservedCapacityParts {
  /** Expected duration of a task on the worker, in milliseconds. */
  expectedMs: (step: WaitingStep) => number;
  /** Called when a step is turned away. */
  onRefusal: () => void;
}

export class ReservedCapacity {
  readonly #reservation: WorkerReservation;
  /** Resources beside the reserved ones at the expected start. */
  readonly #spare: Resources;
  readonly #parts: ReservedCapacityParts;
  readonly #now: number;
  #isActive: boolean;

  /** `spare`: resources beside the reserved ones when the reservation starts. */
  constructor(
    reservation: WorkerReservation,
    spare: Resources,
    parts: ReservedCapacityParts,
    now: number,
  ) {
    this.#reservation = reservation;
    this.#spare = { ...spare };
    this.#parts = parts;
    this.#now = now;
    this.#isActive = reservation.isHeld;
  }

  /** Applies the reservation to the steps that follow; steps that are more urgent than its own are not bound by it. */
  activate(): void {
    this.#isActive = true;
  }

  /** Whether a task of a step may use the worker: the step's own, or one that delays the reserved start by nothing. */
  admits(step: WaitingStep): boolean {
    const { step: owner, isStrict } = this.#reservation;
    const isAdmitted = !this.#isActive || step.name === owner ||
      (!isStrict && (this.#endsBefore(step) || this.#fitsBeside(step)));
    if (!isAdmitted) {
      this.#parts.onRefusal();
    }
    return isAdmitted;
  }

  /** Counts a run that was placed on the worker. */
  record(step: WaitingStep): void {
    if (step.name !== this.#reservation.step && !this.#endsBefore(step)) {
      addInPlace(this.#spare, reservation(step.spec), -1);
    }
  }

  #endsBefore(step: WaitingStep): boolean {
    return this.#now + this.#parts.expectedMs(step) <=
      this.#reservation.startsAt;
  }

  /** Tasks that are placed together are checked together, which does not count what each takes of the spare room. */
  #fitsBeside({ spec }: WaitingStep): boolean {
    return !spec.gang && !spec.sameRack &&
      covers(this.#spare, reservation(spec));
  }
}
