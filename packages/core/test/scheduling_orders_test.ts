import { describe, expect, it } from "vitest";
import {
  leaseDeadline,
  leaseEndsBy,
  type Listing,
  type RunRecord,
  WorkerOrders,
} from "@quetzalcove/core/scheduling";

const DELAYS = { unansweredMs: 250, pausesUnanswered: true, stopMs: 200 };

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
    unreadableRows: 0,
    hasMoreEnds: false,
  };
}

/** Orders with one start that was sent and not answered. */
function unanswered(): { orders: WorkerOrders; run: RunRecord } {
  const orders = new WorkerOrders(DELAYS);
  const run = record();
  orders.add(run, 0);
  orders.takeStarts(0);
  orders.recordStartAnswer(run, "no_answer", 1_000);
  return { orders, run };
}

describe("a start", () => {
  // Guards against a delay that runs from the sending where a worker without answers gets new runs meanwhile.
  it.each([[true, 300], [false, 550]])(
    "that is sent at 0 ms and unanswered at 300 ms is repeated, with a pause of new runs %s, at %s ms",
    (pausesUnanswered, dueAt) => {
      const orders = new WorkerOrders({ ...DELAYS, pausesUnanswered });
      const run = record();
      orders.add(run, 0);
      orders.takeStarts(0);
      orders.recordStartAnswer(run, "no_answer", 300);
      expect(orders.takeStarts(dueAt - 1)).toEqual([]);
      expect(orders.takeStarts(dueAt)).toHaveLength(1);
    },
  );

  it("is sent once while its answer is awaited", () => {
    const orders = new WorkerOrders(DELAYS);
    orders.add(record(), 0);
    expect(orders.takeStarts(0)).toHaveLength(1);
    expect(orders.takeStarts(10_000)).toEqual([]);
  });

  // Guards against passes that look through the orders of every worker although nothing is to be sent.
  it("counts as unsent only until it is sent, and again while a retry is due", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    const unsent = [orders.hasUnsent];
    orders.add(run, 0);
    unsent.push(orders.hasUnsent);
    orders.takeStarts(0);
    unsent.push(orders.hasUnsent);
    orders.recordStartAnswer(run, "no_answer", 1_000);
    unsent.push(orders.hasUnsent);
    orders.requestStop(run, 1_000);
    orders.takeStops(1_000);
    unsent.push(orders.hasUnsent);
    orders.recordStopAnswer(run, false, 1_000);
    unsent.push(orders.hasUnsent);
    orders.retain(() => false);
    unsent.push(orders.hasUnsent);
    expect(unsent).toEqual([false, true, false, true, false, true, false]);
  });

  it("is retried under the same run number when it gets no answer, at once if that took a while", () => {
    const { orders, run } = unanswered();
    expect(orders.takeStarts(999)).toEqual([]);
    expect(orders.takeStarts(1_000)).toEqual([run]);
    // A refused connection, which is no reason to try again and again.
    orders.recordStartAnswer(run, "no_answer", 1_005);
    expect(orders.takeStarts(1_249)).toEqual([]);
    expect(orders.takeStarts(1_250)).toEqual([run]);
  });

  // Guards against more runs on a worker that answers renewals and leaves orders unanswered.
  it("counts as unanswered until the worker answers one, or lists its run", () => {
    const { orders, run } = unanswered();
    const states = [orders.isPaused];
    orders.takeStarts(1_000);
    states.push(orders.isPaused);
    orders.reconcile(listing(), 1_100, 1_110);
    states.push(orders.isPaused);
    orders.recordStartAnswer(run, "started", 1_200);
    states.push(orders.isPaused);
    expect(states).toEqual([true, true, true, false]);
    const listed = unanswered().orders;
    listed.reconcile(listing([1]), 1_100, 1_110);
    expect(listed.isPaused).toBe(false);
  });

  it("that was not sent can be taken back, and one in doubt cannot", () => {
    const { orders } = unanswered();
    const other = { ...record(), task: "j.0.0.1" };
    orders.add(other, 1_000);
    orders.add({ ...record(), task: "j.0.0.2" }, 1_000, true);
    expect(orders.takeUnsent()).toEqual([
      { task: "j.0.0.1", run: 1, worker: "w1" },
    ]);
    expect(orders.takeStarts(2_000).map(({ task }) => task))
      .toEqual(["j.0.0.0", "j.0.0.2"]);
  });

  it("is dropped at once when refused for lack of resources", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.add(run, 0);
    orders.takeStarts(0);
    expect(orders.recordStartAnswer(run, "no_room", 5)).toMatchObject({
      run: 1,
    });
  });

  it("is stopped before it is dropped when an earlier attempt may still be executed", () => {
    const { orders, run } = unanswered();
    orders.takeStarts(1_250);
    expect(orders.recordStartAnswer(run, "no_room", 1_260)).toBeUndefined();
    expect(orders.takeStops(1_260)).toEqual([run]);
    orders.recordStopAnswer(run, true, 1_300);
    // Requested before the worker is guaranteed to have executed the stop.
    expect(orders.reconcile(listing(), 1_450, 1_460).dropped).toEqual([]);
    expect(orders.reconcile(listing(), 1_501, 1_510).dropped).toHaveLength(1);
  });

  it("is stopped despite its refusal when an earlier leader may have ordered it", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.add(run, 0, true);
    orders.takeStarts(0);
    expect(orders.recordStartAnswer(run, "unwell", 5)).toBeUndefined();
    expect(orders.takeStops(5)).toEqual([run]);
  });

  it("is abandoned when its worker leaves", () => {
    const { orders, run } = unanswered();
    orders.stopPendingStarts(1_100);
    expect(orders.takeStarts(5_000)).toEqual([]);
    expect(orders.takeStops(1_100)).toEqual([run]);
  });
});

describe("a stop", () => {
  it("is retried until it is answered", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.requestStop(run, 0);
    expect(orders.takeStops(0)).toEqual([run]);
    orders.recordStopAnswer(run, false, 1_000);
    expect(orders.takeStops(999)).toEqual([]);
    expect(orders.takeStops(1_000)).toEqual([run]);
    orders.recordStopAnswer(run, false, 1_005);
    expect(orders.takeStops(1_249)).toEqual([]);
    expect(orders.takeStops(1_250)).toEqual([run]);
  });

  it("is retried when the run continues after its answer", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.requestStop(run, 0);
    orders.takeStops(0);
    orders.recordStopAnswer(run, true, 10);
    orders.reconcile(listing([1]), 500, 510);
    expect(orders.takeStops(510)).toEqual([run]);
  });

  it("does not drop a run whose end the worker lists", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.requestStop(run, 0);
    orders.takeStops(0);
    orders.recordStopAnswer(run, true, 10);
    const { dropped } = orders.reconcile(listing([], [1]), 900, 910);
    expect(dropped).toEqual([]);
  });
});

describe("a listing", () => {
  it("shows that a start without an answer was executed", () => {
    const { orders } = unanswered();
    orders.reconcile(listing([1]), 1_050, 1_060);
    expect(orders.takeStarts(9_999)).toEqual([]);
  });

  it("is ignored for a start that was answered after the request for the listing", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.add(run, 0);
    orders.takeStarts(0);
    orders.recordStartAnswer(run, "started", 100);
    orders.reconcile(listing(), 50, 120);
    expect(orders.takeStops(1_000)).toEqual([]);
  });

  it("triggers a stop of a started run that it does not contain", () => {
    const orders = new WorkerOrders(DELAYS);
    const run = record();
    orders.add(run, 0);
    orders.takeStarts(0);
    orders.recordStartAnswer(run, "started", 100);
    orders.reconcile(listing(), 150, 160);
    expect(orders.takeStops(160)).toEqual([run]);
  });

  it.each([
    // Guards against a second run of a task whose row in the listing could not be read.
    { name: "with unreadable rows", omission: { unreadableRows: 1 } },
    // Guards against a second run of a task whose end is on a later page (review/6).
    { name: "with more ends to come", omission: { hasMoreEnds: true } },
  ])(
    "$name neither stops nor drops a run that it does not contain",
    ({ omission }) => {
      const incomplete = { ...listing(), ...omission };
      const orders = new WorkerOrders(DELAYS);
      const run = record();
      orders.add(run, 0);
      orders.takeStarts(0);
      orders.recordStartAnswer(run, "started", 100);
      orders.reconcile(incomplete, 150, 160);
      expect(orders.takeStops(160)).toEqual([]);
      orders.requestStop(run, 200);
      orders.takeStops(200);
      orders.recordStopAnswer(run, true, 210);
      expect(orders.reconcile(incomplete, 500, 510)).toMatchObject({
        dropped: [],
        undecided: 1,
      });
      expect(orders.reconcile(listing(), 600, 610).dropped).toHaveLength(1);
    },
  );

  it("reports runs without an order", () => {
    const orders = new WorkerOrders(DELAYS);
    orders.add(record(2), 0);
    expect(orders.reconcile(listing([1]), 0, 0).strays).toMatchObject([
      { task: "j.0.0.0", run: 1 },
    ]);
  });
});

describe("a lease", () => {
  const reading = { workerMs: 50_000, receivedAt: 1_000 };

  it("is counted from the time of the order", () => {
    expect(leaseDeadline(reading, 1_500, 4_000)).toBe(54_500);
  });

  it("is considered expired only when the slowest clock has reached its deadline", () => {
    const endsBy = leaseEndsBy(reading, 54_000);
    // By then a clock that runs 2 % slow just reaches the deadline; an accurate clock reached it earlier.
    expect(50_000 + 0.98 * (endsBy - 1_000)).toBeCloseTo(54_000);
    expect(endsBy).toBeGreaterThan(5_000);
  });

  it("is expired at once when its deadline is in the past", () => {
    expect(leaseEndsBy(reading, 10)).toBe(1_000);
  });
});
