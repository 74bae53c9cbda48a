/**
 * How long messages of one sender were delayed, without synchronized clocks.
 *
 * The difference between receive time and send time is the offset of the two wall clocks plus the transit time. The
 * smallest difference of the last seconds approximates the offset, and what exceeds it is delay: a message that waited
 * in a buffer while a link was cut or the receiver was suspended.
 *
 * @module
 */

/** Time after which a difference is forgotten, so that a step of a wall clock is learned. */
const WINDOW_MS = 5_000;

/** Readings of both clocks of the receiver, in milliseconds. */
export interface ReceiveTime {
  /** Stands still while the process is suspended, so that a suspension ages no sample. */
  monotonic: number;
  wall: number;
}

interface Sample {
  /** Monotonic time of the receiver. */
  at: number;
  /** Receive time minus send time, on wall clocks. */
  difference: number;
}

export class TransitDelay {
  /** Samples of the window with rising differences; the first one is the smallest. */
  #samples: Sample[] = [];

  /** Records a message and returns its delay in milliseconds. `sentAt` is the sender's wall-clock time. */
  record(sentAt: number, { monotonic, wall }: ReceiveTime): number {
    const difference = wall - sentAt;
    this.#samples = this.#samples.filter((sample) =>
      monotonic - sample.at < WINDOW_MS && sample.difference < difference
    );
    this.#samples.push({ at: monotonic, difference });
    return difference - (this.#samples[0]?.difference ?? difference);
  }
}
