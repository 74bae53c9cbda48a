import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type Listing,
  type RunRecord,
  WorkerOrders,
} from "@quetzalcove/core/scheduling";
import { listing } from "./scheduling_fixture.ts";

const DELAYS = { unansweredMs: 250, pausesUnanswered: true, stopMs: 200 };
const ORDER_TIMEOUT_MS = 300;
const ROUND_TRIP_MS = 10;

/** Intervals of passes and of listings, in milliseconds. */
const PASS_MS = 100;

function record(task: string): RunRecord {
  const position = { job: task, round: 0, step: 0, index: 0 };
  return { ...position, task, run: 1, worker: "w1" };
}

/** How long an order is on its way if it gets no answer; undefined if it is answered promptly. */
type Delay = number | undefined;

/** A worker that carries out each start and stop once, whenever it arrives. */
class LateWorker {
  readonly running = new Set<string>();
  readonly #known = new Set<string>();

  start(task: string): void {
    if (!this.#known.has(task)) {
      this.#known.add(task);
      this.running.add(task);
    }
  }

  stop(task: string): void {
    this.#known.add(task);
    this.running.delete(task);
  }

  list(): Listing {
    const rows = [...this.running].map((task) => ({
      task,
      run: 1,
      checkpoint: "",
      percent: 1,
      gauge: 0,
    }));
    return listing({ running: rows });
  }
}

/** The orders of one task to a worker, of which some get no answer and are carried out late. */
class LateOrders {
  readonly orders = new WorkerOrders(DELAYS);
  readonly worker = new LateWorker();
  now = 0;
  /** When the task was known to run here, and when it was known that it never will. */
  runningAt: number | undefined;
  droppedAt: number | undefined;
  readonly #events: { at: number; run: () => void }[] = [];
  readonly #delayOf: (at: number) => Delay;

  constructor(delayOf: (at: number) => Delay) {
    this.#delayOf = delayOf;
    this.orders.add(record("j"), 0);
  }

  at(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  advance(untilMs: number): void {
    for (; this.now < untilMs; this.now += ROUND_TRIP_MS) {
      const due = this.#events.filter(({ at }) => at <= this.now);
      due.forEach((event) => {
        this.#events.splice(this.#events.indexOf(event), 1);
        event.run();
      });
      if (this.now % PASS_MS === 0) {
        this.#pass();
      }
    }
  }

  #pass(): void {
    for (const run of this.orders.takeStops(this.now)) {
      this.#send(
        () => this.worker.stop(run.task),
        (isAnswered) => this.orders.recordStopAnswer(run, isAnswered, this.now),
      );
    }
    for (const run of this.orders.takeStarts(this.now)) {
      this.#send(
        () => this.worker.start(run.task),
        (isAnswered) => {
          const answer = !isAnswered
            ? "no_answer"
            : this.worker.running.has(run.task)
            ? "started"
            : "superseded";
          this.orders.recordStartAnswer(run, answer, this.now);
        },
      );
    }
    const listing = this.worker.list();
    const { dropped } = this.orders.reconcile(listing, this.now, this.now);
    if (dropped.length > 0) {
      this.droppedAt ??= this.now;
    } else if (listing.running.length > 0) {
      this.runningAt ??= this.now;
    }
  }

  #send(carryOut: () => void, settle: (isAnswered: boolean) => void): void {
    const delay = this.#delayOf(this.now);
    if (delay === undefined) {
      this.at(this.now + ROUND_TRIP_MS, () => {
        carryOut();
        settle(true);
      });
      return;
    }
    this.at(this.now + delay, carryOut);
    this.at(this.now + ORDER_TIMEOUT_MS, () => settle(false));
  }
}

const DELAY = fc.option(fc.integer({ min: 2_000, max: 12_000 }), {
  nil: undefined,
  freq: 2,
});

describe("a run whose orders are carried out 2 to 12 s late", () => {
  // Guards against a run that is placed elsewhere although an order for it is still under way.
  it("never runs once it counts as dropped", () => {
    fc.assert(
      fc.property(
        fc.array(DELAY, { maxLength: 40 }),
        fc.integer({ min: 0, max: 6_000 }),
        (delays, givenUpAt) => {
          const rest = [...delays];
          const late = new LateOrders(() => rest.shift());
          late.at(
            givenUpAt,
            () => late.orders.requestStop(record("j"), late.now),
          );
          while (late.now < 26_000) {
            late.advance(late.now + PASS_MS);
            const isDropped = late.droppedAt !== undefined;
            expect(isDropped && late.worker.running.size > 0).toBe(false);
          }
          expect(late.droppedAt).toBeDefined();
        },
      ),
      { numRuns: 500 },
    );
  });

  // Guards against a repeated order that waits although its timeout has already told that the answer is lost.
  it("is known to run soon after the loss of one answer", () => {
    const late = new LateOrders((at) => at === 0 ? 12_000 : undefined);
    late.advance(2_000);
    expect(late.runningAt).toBeLessThanOrEqual(ORDER_TIMEOUT_MS + PASS_MS);
  });

  // Guards against a stop whose lost answer holds up the next run of its task.
  it("is dropped soon after the loss of the answer to a stop", () => {
    const late = new LateOrders((at) => at < 500 ? 12_000 : undefined);
    late.at(0, () => late.orders.requestStop(record("j"), 0));
    late.advance(3_000);
    expect(late.droppedAt).toBeLessThanOrEqual(
      2 * (ORDER_TIMEOUT_MS + PASS_MS) + DELAYS.stopMs + 2 * PASS_MS,
    );
  });

  it("is known to run after the shortest of many delays", () => {
    // Delays of a fixed sequence, uniform between 2 and 12 s.
    const delays = Array.from(
      { length: 64 },
      (_, i) => 2_000 + (i * 6_180) % 10_000,
    );
    const times = Array.from({ length: 16 }, (_, i) => {
      const rest = [...delays.slice(4 * i), ...delays];
      const late = new LateOrders(() => rest.shift());
      late.advance(14_000);
      return late.runningAt ?? Infinity;
    });
    const mean = times.reduce((sum, at) => sum + at, 0) / times.length;
    // 4.2 s if an order was repeated 250 ms after its deadline.
    expect(mean).toBeLessThan(3_700);
  });
});
