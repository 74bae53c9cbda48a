import { describe, expect, it } from "vitest";
import {
  leaseDeadline,
  leaseEndsBy,
  type Listing,
  type RunRecord,
  WorkerOrders,
} from "@quetzalcove/core/scheduling";

const PAUSES = { unansweredMs: 250, stopMs: 200 };

function record(number = 1): RunRecord {
  return {
    task: "j.0.0.0",
    run: number,
    worker: "w1",
    job: "j",
    round: 0,
    step: 0,
    index: 0,
  };
}

function listing(running: number[] = [], ended: number[] = []): Listing {
  return {
    running: running.map((number) => ({
      task: "j.0.0.0",
      run: number,
      checkpoint: "",
      percent: 10,
      gauge: 0,
    })),
    ended: ended.map((number) => ({
      number,
      task: "j.0.0.0",
      run: number,
      how: "done",
      checkpoint: "",
    })),
  };
}

/** Orders with one start that was taken and not answered. */
function unanswered(): { orders: WorkerOrders; run: RunRecord } {
  const orders = new WorkerOrders(PAUSES);
  const run = record();
  orders.add(run, 0);
  orders.takeStarts(0);
  orders.noteStart(run, "no_answer", 1_000);
  return { orders, run };
}

describe("a start", () => {
  it("is sent once while its answer is awaited", () => {
    const orders = new WorkerOrders(PAUSES);
    orders.add(record(), 0);
    expect(orders.takeStarts(0)).toHaveLength(1);
    expect(orders.takeStarts(10_000)).toEqual([]);
  });

  it("without an answer is repeated under the same run number", () => {
    const { orders, run } = unanswered();
    expect(orders.takeStarts(1_100)).toEqual([]);
    expect(orders.takeStarts(1_250)).toEqual([run]);
  });

  it("that was refused for want of room is dropped at once", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.add(run, 0);
    orders.takeStarts(0);
    expect(orders.noteStart(run, "no_room", 5)).toMatchObject({ run: 1 });
  });

  it("that may still be carried out late is stopped before it is dropped", () => {
    const { orders, run } = unanswered();
    orders.takeStarts(1_250);
    expect(orders.noteStart(run, "no_room", 1_260)).toBeUndefined();
    expect(orders.takeStops(1_260)).toEqual([run]);
    orders.noteStop(run, true, 1_300);
    // Asked before the worker must have carried the stop out.
    expect(orders.noteListing(listing(), 1_450, 1_460).dropped).toEqual([]);
    expect(orders.noteListing(listing(), 1_501, 1_510).dropped).toHaveLength(1);
  });

  it("of an earlier leader may be under way, so its refusal is no proof", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.add(run, 0, true);
    orders.takeStarts(0);
    expect(orders.noteStart(run, "unwell", 5)).toBeUndefined();
    expect(orders.takeStops(5)).toEqual([run]);
  });

  it("is given up when its worker leaves", () => {
    const { orders, run } = unanswered();
    orders.withdrawStarts(1_100);
    expect(orders.takeStarts(5_000)).toEqual([]);
    expect(orders.takeStops(1_100)).toEqual([run]);
  });
});

describe("a stop", () => {
  it("is repeated until it is answered", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.withdraw(run, 0);
    expect(orders.takeStops(0)).toEqual([run]);
    orders.noteStop(run, false, 1_000);
    expect(orders.takeStops(1_249)).toEqual([]);
    expect(orders.takeStops(1_250)).toEqual([run]);
  });

  it("is repeated when the run goes on in spite of it", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.withdraw(run, 0);
    orders.takeStops(0);
    orders.noteStop(run, true, 10);
    orders.noteListing(listing([1]), 500, 510);
    expect(orders.takeStops(510)).toEqual([run]);
  });

  it("waits for the end of the run, which the worker lists", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.withdraw(run, 0);
    orders.takeStops(0);
    orders.noteStop(run, true, 10);
    const { dropped } = orders.noteListing(listing([], [1]), 900, 910);
    expect(dropped).toEqual([]);
  });
});

describe("a listing", () => {
  it("shows that a start without an answer was carried out", () => {
    const { orders } = unanswered();
    orders.noteListing(listing([1]), 1_050, 1_060);
    expect(orders.takeStarts(9_999)).toEqual([]);
  });

  it("that was asked for before the start was answered says nothing about it", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.add(run, 0);
    orders.takeStarts(0);
    orders.noteStart(run, "started", 100);
    orders.noteListing(listing(), 50, 120);
    expect(orders.takeStops(1_000)).toEqual([]);
  });

  it("without a run that was started makes sure that it is gone", () => {
    const orders = new WorkerOrders(PAUSES);
    const run = record();
    orders.add(run, 0);
    orders.takeStarts(0);
    orders.noteStart(run, "started", 100);
    orders.noteListing(listing(), 150, 160);
    expect(orders.takeStops(160)).toEqual([run]);
  });

  it("names runs that nobody ordered", () => {
    const orders = new WorkerOrders(PAUSES);
    orders.add(record(2), 0);
    expect(orders.noteListing(listing([1]), 0, 0).strays).toMatchObject([
      { task: "j.0.0.0", run: 1 },
    ]);
  });
});

describe("a lease", () => {
  const reading = { workerMs: 50_000, receivedAt: 1_000 };

  it("counts from the moment of the order", () => {
    expect(leaseDeadline(reading, 1_500, 4_000)).toBe(54_500);
  });

  it("has surely ended only when the slowest clock has reached its deadline", () => {
    const endsBy = leaseEndsBy(reading, 54_000);
    // A clock that runs 2 % slow is at most there by then, and one that keeps time was there before.
    expect(50_000 + 0.98 * (endsBy - 1_000)).toBeCloseTo(54_000);
    expect(endsBy).toBeGreaterThan(5_000);
  });

  it("with a deadline in the past has ended", () => {
    expect(leaseEndsBy(reading, 10)).toBe(1_000);
  });
});
