import { describe, expect, it } from "vitest";
import {
  allowsStart,
  checkGangs,
  fairLevel,
  JobStore,
  type JobStoreCommand,
} from "@quetzalcove/core/scheduling";
import { end, place, run, spec, step } from "./scheduling_fixture.ts";
import {
  activeRuns,
  commandOf,
  coreCap,
  customer,
  inTimeShare,
  newSharedStore,
  passOver,
  placeWaiting,
  planCustomers,
  play,
  runsByCustomer,
  submitFor,
  workers,
} from "./scheduling_customers_fixture.ts";

const TASK = { cpuMilli: 1_000, memoryMb: 100, gpus: 0 };
const NOTHING = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

describe("the cap of a customer", () => {
  it("allows a start up to the cap itself, in each limited resource", () => {
    const cap = { cpuMilli: 2_000, memoryMb: 0, gpus: 1 };
    expect([
      allowsStart({ ...NOTHING, cpuMilli: 1_000 }, TASK, cap),
      allowsStart({ ...NOTHING, cpuMilli: 1_001 }, TASK, cap),
      allowsStart({ ...NOTHING, memoryMb: 1_000_000 }, TASK, cap),
      allowsStart({ ...NOTHING, gpus: 2 }, TASK, cap),
    ]).toEqual([true, false, true, false]);
  });

  // Guards against a gang that waits for ever because smaller steps of its customer take each room under the cap.
  it("keeps the room under it for a gang that has its turn first", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(4) }),
    );
    submitFor(store, "a", "running", { taskCount: 2 });
    placeWaiting(store);
    submitFor(store, "a", "gang", { taskCount: 4, gang: true });
    submitFor(store, "a", "small", { taskCount: 2 });
    expect(placeWaiting(store)).toEqual([]);
    planCustomers(store, customer("a", { cap: coreCap(3) }));
    expect(placeWaiting(store)).toEqual(["small.0.0.0"]);
  });

  it("lets a task that is larger than the cap run alone", () => {
    const cap = coreCap(0.5);
    expect([
      allowsStart(NOTHING, TASK, cap),
      allowsStart({ ...NOTHING, memoryMb: 1 }, TASK, cap),
    ]).toEqual([true, false]);
  });

  // Guards against a pass that checks each step against the usage before the pass only.
  it("counts what the pass has planned, and places a step as far as it allows", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(3) }),
    );
    submitFor(store, "a", "j1", { taskCount: 2 });
    submitFor(store, "a", "j2", { taskCount: 5 });
    expect(placeWaiting(store)).toEqual(["j1.0.0.0", "j1.0.0.1", "j2.0.0.0"]);
    const { waits } = passOver(store);
    expect(waits.map(({ step: { name }, reason, tasks }) => ({
      name,
      reason,
      tasks,
    }))).toEqual([{ name: "j2.0.0", reason: "cap", tasks: 4 }]);
  });

  it("applies across all pools", () => {
    const store = newSharedStore(
      workers(2),
      customer("a", { cap: coreCap(2) }),
    );
    submitFor(store, "a", "j1", { taskCount: 1 });
    store.apply({
      kind: "submit",
      jobs: [{
        id: "other",
        queue: "charts",
        pool: "charts",
        customer: "a",
        spec: spec(step()),
      }],
      atMs: 0,
    });
    store.apply({ kind: "place", runs: [run("other.0.0.0", 1, "w1")] });
    submitFor(store, "a", "j2", { taskCount: 3 });
    expect(placeWaiting(store)).toEqual(["j1.0.0.0"]);
  });

  // Guards against a gang of which some members start and wait for the others.
  it("places a gang whole or not at all", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(4) }),
    );
    submitFor(store, "a", "small", { taskCount: 2 });
    submitFor(store, "a", "gang", { taskCount: 3, gang: true });
    expect(placeWaiting(store)).toEqual(["small.0.0.0", "small.0.0.1"]);
    activeRuns(store).forEach((each) => end(store, each, "done"));
    expect(placeWaiting(store)).toHaveLength(3);
  });

  // Guards against a gang that the pass placed and the store refuses, since a later run of its customer counted first.
  it("is checked in the order in which the pass chose the runs", () => {
    const store = newSharedStore(
      workers(1),
      customer("a", { cap: coreCap(1) }),
    );

    submitFor(store, "a", "gang", {
      taskCount: 2,
      gang: true,
      demand: NOTHING,
    });
    submitFor(store, "a", "large", {
      demand: { ...NOTHING, cpuMilli: 2_000 },
    });
    const runs = ["gang.0.0.0", "gang.0.0.1", "large.0.0.0"].map((task) =>
      run(task, 1, "w1")
    );
    place(store, ...runs);
    expect(runs.filter((key) => store.findRun(key) === undefined)).toEqual([]);
  });

  it("refuses a gang that can never fit, and no other step", () => {
    const owner = customer("a", { cap: coreCap(4) });
    const refused = checkGangs(
      spec(step(), step({ taskCount: 5, gang: true })),
      owner,
    );
    expect(refused.err && refused.val).toMatchInlineSnapshot(`
      {
        "kind": "over_quota",
        "message": "The gang of step 1 exceeds the cap of customer "a"",
        "outcome": "not run",
        "remedy": "Submit a smaller gang, or have the cap raised",
      }
    `);
    const accepted = [
      checkGangs(spec(step({ taskCount: 4, gang: true })), owner),
      checkGangs(spec(step({ taskCount: 500 })), owner),
      checkGangs(spec(step({ taskCount: 500, gang: true })), undefined),
      checkGangs(
        spec(step({ gang: true, demand: { ...TASK, cpuMilli: 9_000 } })),
        owner,
      ),
    ];
    expect(accepted.every(({ ok }) => ok)).toBe(true);
  });

  it("stops nothing when it is lowered under load, and allows no start until there is room", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(8) }),
    );
    submitFor(store, "a", "j", { taskCount: 10 });
    expect(placeWaiting(store)).toHaveLength(8);
    planCustomers(store, customer("a", { cap: coreCap(2) }));
    expect([store.runsToStop.size, placeWaiting(store)]).toEqual([0, []]);
    activeRuns(store).slice(0, 6).forEach((each) => end(store, each, "done"));
    expect(placeWaiting(store)).toEqual([]);
    activeRuns(store).slice(0, 1).forEach((each) => end(store, each, "done"));
    expect(placeWaiting(store)).toHaveLength(1);
  });

  it("does not apply to a customer that the newest plan does not have", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(1) }),
      customer("b"),
    );
    submitFor(store, "a", "j", { taskCount: 5 });
    expect(placeWaiting(store)).toHaveLength(1);
    planCustomers(store, customer("b"));
    expect(placeWaiting(store)).toHaveLength(4);
  });

  // Guards against a next leader that counts only runs whose start it has seen.
  it("counts placements that the last leader committed before it was lost", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(3) }),
    );
    const log: JobStoreCommand[] = [];
    const follower = JobStore.decode(store.encode());
    submitFor(store, "a", "j", { taskCount: 5 });
    submitFor(follower, "a", "j", { taskCount: 5 });
    log.push(commandOf(passOver(store)));
    log.forEach((command) => follower.apply(command));
    expect(placeWaiting(follower)).toEqual([]);
    expect(JobStore.decode(follower.encode()).customerUsage.of("a"))
      .toEqual({ cpuMilli: 3_000, memoryMb: 300, gpus: 0 });
  });

  // Guards against two leaders around a hand-over that each fill the cap from their own view.
  it("is checked again when a placement is applied", () => {
    const store = newSharedStore(
      workers(8),
      customer("a", { cap: coreCap(3) }),
    );
    submitFor(store, "a", "j1", { taskCount: 3 });
    submitFor(store, "a", "gang", { taskCount: 3, gang: true });
    const old = JobStore.decode(store.encode());
    old.apply({ kind: "cancel", ids: ["j1"], atMs: 0 });
    const [first, second] = [passOver(store), passOver(old)].map(commandOf);
    for (const order of [[first, second], [second, first]]) {
      const replica = JobStore.decode(store.encode());
      order.forEach((command) => command && replica.apply(command));
      expect(activeRuns(replica)).toHaveLength(3);
    }
  });

  it("is that of the plan committed before a placement", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(4) }),
    );
    submitFor(store, "a", "j", { taskCount: 4 });
    const planned = commandOf(passOver(store));
    planCustomers(store, customer("a", { cap: coreCap(2) }));
    store.apply(planned);
    expect(activeRuns(store)).toHaveLength(2);
    expect(store.waiting.get("j.0.0")?.indices.size).toBe(2);
  });

  // Guards against a count that forgets orders that may be carried out late, on workers that do not answer.
  it("counts a run until its end is certain", () => {
    const store = newSharedStore(
      workers(4),
      customer("a", { cap: coreCap(1) }),
    );
    submitFor(store, "a", "first");
    placeWaiting(store);
    const [first] = activeRuns(store);
    store.apply({ kind: "cancel", ids: ["first"], atMs: 0 });
    submitFor(store, "a", "second");
    expect(placeWaiting(store)).toEqual([]);
    end(store, first ?? run("", 0, ""), "stopped");
    expect(placeWaiting(store)).toEqual(["second.0.0.0"]);
  });

  it("has room again when a worker with half of the runs is lost", () => {
    const store = newSharedStore(
      workers(3),
      customer("a", { cap: coreCap(8) }),
    );
    submitFor(store, "a", "j", { taskCount: 12 });
    expect(placeWaiting(store)).toHaveLength(8);
    store.apply({ kind: "lose", workers: ["w1"], haveEnded: true, atMs: 1 });
    expect(store.customerUsage.of("a").cpuMilli).toBe(4_000);
    expect(placeWaiting(store)).toHaveLength(4);
    expect(store.customerUsage.of("a").cpuMilli).toBe(8_000);
  });

  // Guards against the shortcut for full workers counting a step that only its cap holds back, and the reverse.
  it("holds back no step of another customer, nor is taken for a lack of capacity", () => {
    const store = newSharedStore(
      workers(1),
      customer("a", { cap: coreCap(1) }),
      customer("b"),
    );
    submitFor(store, "a", "held", { taskCount: 2 }, 0);
    submitFor(store, "b", "fits", { taskCount: 2 }, 1);
    submitFor(store, "b", "wide", {
      taskCount: 1,
      demand: { ...TASK, cpuMilli: 2_000 },
    }, 2);
    submitFor(store, "a", "late", {}, 3);
    const { placements, waits } = passOver(store);
    expect(placements.map(({ step: { name }, runs }) => [name, runs.length]))
      .toEqual([["held.0.0", 1], ["fits.0.0", 2]]);
    expect(waits.map(({ step: { name }, reason }) => [name, reason])).toEqual([
      ["held.0.0", "cap"],
      ["wide.0.0", "capacity"],
      ["late.0.0", "cap"],
    ]);
  });
});

describe("the level of a pool", () => {
  it("gives each customer what it wants if the pool suffices", () => {
    expect(fairLevel([{ weight: 1, wanted: 0.3 }, { weight: 1, wanted: 0.7 }]))
      .toBe(Infinity);
  });

  it("divides what small customers leave by weight, and never entitles one to less than its weight", () => {
    const level = fairLevel([
      { weight: 8, wanted: 0.1 },
      { weight: 1, wanted: 2 },
      { weight: 2, wanted: 5 },
      { weight: 0, wanted: 1 },
    ]);
    expect(level).toBeCloseTo(0.3);
  });
});

const USUAL = 8;
const FOUR = ["a", "b", "c", "d"];

/** Rates of customers a to d: the hot ones send `factor` times the usual from 2 s to 8 s. */
function ratesOf(
  hot: readonly string[],
  factor: number,
): Record<string, (atMs: number) => number> {
  return Object.fromEntries(FOUR.map((name) => [
    name,
    (atMs: number): number =>
      hot.includes(name) && atMs >= 2_000 && atMs < 8_000
        ? factor * USUAL
        : USUAL,
  ]));
}

/** 40 cores, of which four customers usually use 32. */
function sharedPool(...names: string[]): JobStore {
  return newSharedStore(workers(10), ...names.map((name) => customer(name)));
}

describe("the shares of a full pool", () => {
  // Guards against the excess of one customer making the others late, as it does in order of urgency alone.
  it("keep three customers in time while the fourth sends six times its usual", () => {
    const rates = ratesOf(["a"], 6);
    const served = play(sharedPool(...FOUR), rates, { lengthMs: 8_000 });
    const plain = play(sharedPool(), rates, { lengthMs: 8_000 });
    expect(["b", "c", "d"].map((name) => inTimeShare(served[name])))
      .toEqual([1, 1, 1]);
    expect(inTimeShare(plain["b"])).toBeLessThan(0.9);
  });

  it("keep the fourth customer in time while three send six times their usual, and serve these alike", () => {
    const served = play(sharedPool(...FOUR), ratesOf(["a", "b", "c"], 6), {
      lengthMs: 8_000,
      countFromMs: 2_000,
    });
    expect(inTimeShare(served["d"])).toBeGreaterThan(0.95);
    const done = ["a", "b", "c"].map((name) => served[name]?.done ?? 0);
    expect(Math.max(...done) - Math.min(...done)).toBeLessThan(20);
  });

  it("follow the weights when all customers want more than the pool has", () => {
    const store = newSharedStore(
      workers(10),
      customer("a"),
      customer("b"),
      customer("c", { weight: 3 }),
    );
    submitFor(store, "a", "ja", { taskCount: 100 });
    submitFor(store, "b", "jb", { taskCount: 100 });
    submitFor(store, "c", "jc", { taskCount: 100 });
    placeWaiting(store);
    expect(runsByCustomer(store)).toEqual({ a: 8, b: 8, c: 24 });
  });

  it("give the whole pool to a customer that is alone, whatever its weight", () => {
    const store = newSharedStore(
      workers(10),
      customer("a", { weight: 0 }),
      customer("b", { weight: 1_000 }),
    );
    submitFor(store, "a", "j", { taskCount: 100 });
    expect(placeWaiting(store)).toHaveLength(40);
  });

  it("lend what a customer does not use, and give it back as runs end", () => {
    const store = sharedPool("a", "b");
    submitFor(store, "a", "j", { taskCount: 100 });
    placeWaiting(store);
    submitFor(store, "b", "k", { taskCount: 100 }, 1);
    activeRuns(store).slice(0, 20).forEach((each) => end(store, each, "done"));
    placeWaiting(store, 1);
    expect(runsByCustomer(store)).toEqual({ a: 20, b: 20 });
  });

  // Guards against a memory of past use that punishes a customer after its burst.
  it("serve a customer in time once it is back at its usual", () => {
    const served = play(sharedPool(...FOUR), ratesOf(["a"], 6), {
      lengthMs: 16_000,
      countFromMs: 11_000,
    });
    expect(FOUR.map((name) => inTimeShare(served[name]))).toEqual([1, 1, 1, 1]);
  });

  it("let steps that can meet their objective go before late ones, also across customers", () => {
    const store = newSharedStore(workers(1), customer("a"), customer("b"));
    submitFor(store, "a", "first", { taskCount: 4 }, 0);
    placeWaiting(store, 0);
    submitFor(store, "b", "late", { taskCount: 4 }, 0);
    submitFor(store, "a", "early", { taskCount: 4 }, 9_000);
    activeRuns(store).slice(0, 2).forEach((each) => end(store, each, "done"));
    expect(placeWaiting(store, 9_000)).toEqual(["early.0.0.0", "early.0.0.1"]);
  });

  it("let long-running steps go first", () => {
    const store = newSharedStore(workers(1), customer("a"), customer("b"));
    submitFor(store, "a", "first", { taskCount: 3 });
    placeWaiting(store);
    submitFor(store, "b", "short", {}, 0);
    submitFor(store, "a", "long", { lasting: true }, 1);
    expect(placeWaiting(store)).toEqual(["long.0.0.0"]);
  });

  it("say which tasks wait for their share and which for capacity", () => {
    const store = newSharedStore(workers(1), customer("a"), customer("b"));
    submitFor(store, "a", "hot", { taskCount: 6 }, 0);
    placeWaiting(store);
    submitFor(store, "b", "usual", { taskCount: 3 }, 1);
    const { waits } = passOver(store);
    expect(waits.map(({ step: { name }, reason, tasks }) => ({
      name,
      reason,
      tasks,
    }))).toMatchInlineSnapshot(`
      [
        {
          "name": "usual.0.0",
          "reason": "capacity",
          "tasks": 3,
        },
        {
          "name": "hot.0.0",
          "reason": "share",
          "tasks": 2,
        },
      ]
    `);
  });

  it("count anonymous jobs and those of former customers as one customer of mean weight", () => {
    const store = newSharedStore(workers(10), customer("a"), customer("b"));
    submitFor(store, undefined, "anonymous", { taskCount: 50 }, 0);
    submitFor(store, "former", "former", { taskCount: 50 }, 0);
    submitFor(store, "a", "ja", { taskCount: 50 }, 1);
    submitFor(store, "b", "jb", { taskCount: 50 }, 1);
    placeWaiting(store, 1);
    const { a = 0, b = 0, none = 0, former = 0 } = runsByCustomer(store);
    expect([a, b, none + former].sort()).toEqual([12, 14, 14]);
  });
});
