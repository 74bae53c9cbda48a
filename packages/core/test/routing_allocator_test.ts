import { type Route, Router, SlotAllocator } from "@quetzalcove/core";
import { expect, test } from "vitest";
import { route, submission } from "./routing_fixture.ts";

const LEASE_MS = 3_000;
const MARGIN_MS = 300;
const MIN_DRAIN_MS = 1_000;

/** The allocator of the first leader, or of a later leader if entries are given. */
function createAllocator(
  table: readonly Route[],
  { entries = [], epoch = 1, now = 0 }: {
    entries?: readonly string[];
    epoch?: number;
    now?: number;
  } = {},
): SlotAllocator {
  const options = { epoch, leaseMs: LEASE_MS, marginMs: MARGIN_MS, entries };
  const allocator = new SlotAllocator(options, now);
  allocator.setTargets(table, now);
  return allocator;
}

function createRouter(entry: string, table: readonly Route[]): Router {
  const router = new Router({ entry, incarnation: 1, random: () => 0.5 });
  const service = { name: "intake", maxQueue: 64, expectedRunMs: 100 };
  router.setServices([service], 0);
  router.setTargets(table, 0);
  return router;
}

/** Renews the lease of an entry without network delay. */
function renew(
  router: Router,
  allocator: SlotAllocator,
  { now, epoch = 1 }: { now: number; epoch?: number },
): void {
  const grant = allocator.report(router.report(epoch, now), now);
  if (grant !== undefined) {
    router.setAllowance({ ...grant, until: now + LEASE_MS }, now);
  }
}

function slotsOf(router: Router): number {
  return router.describe(0)[0]?.slots ?? 0;
}

const TABLE = ["a", "b", "c"].map((target) => route(target));

test("divides all slots evenly among entries with equal needs", () => {
  const routers = ["e1", "e2", "e3"].map((entry) => createRouter(entry, TABLE));
  const allocator = createAllocator(TABLE);
  for (let now = 0; now < 3_000; now += 500) {
    routers.forEach((router) => renew(router, allocator, { now }));
  }
  expect(routers.map(slotsOf)).toEqual([8, 8, 8]);
  expect(allocator.describe(3_000)).toMatchInlineSnapshot(`
    [
      {
        "holders": [
          {
            "entry": "e1",
            "incarnation": 1,
            "slots": 2,
          },
          {
            "entry": "e2",
            "incarnation": 1,
            "slots": 2,
          },
          {
            "entry": "e3",
            "incarnation": 1,
            "slots": 4,
          },
        ],
        "slots": 8,
        "target": "a",
        "usable": 8,
      },
      {
        "holders": [
          {
            "entry": "e1",
            "incarnation": 1,
            "slots": 3,
          },
          {
            "entry": "e2",
            "incarnation": 1,
            "slots": 3,
          },
          {
            "entry": "e3",
            "incarnation": 1,
            "slots": 2,
          },
        ],
        "slots": 8,
        "target": "b",
        "usable": 8,
      },
      {
        "holders": [
          {
            "entry": "e1",
            "incarnation": 1,
            "slots": 3,
          },
          {
            "entry": "e2",
            "incarnation": 1,
            "slots": 3,
          },
          {
            "entry": "e3",
            "incarnation": 1,
            "slots": 2,
          },
        ],
        "slots": 8,
        "target": "c",
        "usable": 8,
      },
    ]
  `);
});

test("moves slots to a busy entry after an idle one released them", () => {
  const [busy, idle] = ["e1", "e2"].map((entry) => createRouter(entry, TABLE));
  const allocator = createAllocator(TABLE);
  if (busy === undefined || idle === undefined) {
    throw new Error("Two routers are needed");
  }
  for (let now = 0; now < 6_000; now += 10) {
    const deadline = now + 5_000;
    for (
      const decision of busy.submit(submission(`r${now}`, { deadline }), now)
    ) {
      if (decision.kind === "send") {
        busy.complete(decision.id, "ok", now);
      }
    }
    if (now % 1_000 === 0) {
      renew(busy, allocator, { now });
      renew(idle, allocator, { now: now });
    }
  }
  expect(slotsOf(busy)).toBeGreaterThan(slotsOf(idle));
  expect(slotsOf(busy) + slotsOf(idle)).toBe(24);
});

test("grants the slots of a lost entry only after its lease has expired and its runs must have ended", () => {
  const [remaining, lost] = ["e1", "e2"].map((entry) =>
    createRouter(entry, TABLE)
  );
  const allocator = createAllocator(TABLE);
  if (remaining === undefined || lost === undefined) {
    throw new Error("Two routers are needed");
  }
  for (let now = 0; now <= 2_000; now += 500) {
    renew(remaining, allocator, { now });
    renew(lost, allocator, { now });
  }
  expect(slotsOf(remaining)).toBe(12);
  const free = 2_000 + LEASE_MS + MARGIN_MS + MIN_DRAIN_MS;
  renew(remaining, allocator, { now: free - 1 });
  expect(slotsOf(remaining)).toBe(12);
  renew(remaining, allocator, { now: free });
  expect(slotsOf(remaining)).toBe(24);
});

test("frees the slots of an entry at once after a graceful shutdown", () => {
  const [remaining, stopped] = ["e1", "e2"].map((entry) =>
    createRouter(entry, TABLE)
  );
  const allocator = createAllocator(TABLE);
  if (remaining === undefined || stopped === undefined) {
    throw new Error("Two routers are needed");
  }
  for (let now = 0; now <= 1_000; now += 500) {
    renew(remaining, allocator, { now });
    renew(stopped, allocator, { now });
  }
  allocator.release("e2", 1);
  renew(remaining, allocator, { now: 1_100 });
  expect(slotsOf(remaining)).toBe(24);
});

test("ignores a report that arrives after a later one", () => {
  const router = createRouter("e1", TABLE);
  const allocator = createAllocator(TABLE);
  renew(router, allocator, { now: 0 });
  const early = router.report(1, 100);
  renew(router, allocator, { now: 200 });
  const before = allocator.describe(300);
  expect(allocator.report(early, 300)).toBeUndefined();
  expect(allocator.describe(300)).toEqual(before);
});

test("a new leader grants no new slots until every entry has reported the slots it holds", () => {
  const [first, second] = ["e1", "e2"].map((entry) =>
    createRouter(entry, TABLE)
  );
  const allocator = createAllocator(TABLE);
  if (first === undefined || second === undefined) {
    throw new Error("Two routers are needed");
  }
  renew(first, allocator, { now: 10_000 });
  renew(second, allocator, { now: 10_000 });
  const before = slotsOf(first);
  const entries = ["e1", "e2"];
  const next = createAllocator(TABLE, { entries, epoch: 2, now: 10_600 });
  renew(first, next, { now: 10_700, epoch: 2 });
  expect(slotsOf(first)).toBe(before);
  expect(next.isInGracePeriod(10_700)).toBe(true);
  renew(second, next, { now: 10_800, epoch: 2 });
  expect(next.isInGracePeriod(10_800)).toBe(false);
  for (let now = 11_000; now < 13_000; now += 500) {
    renew(first, next, { now, epoch: 2 });
    renew(second, next, { now, epoch: 2 });
  }
  expect([slotsOf(first), slotsOf(second)]).toEqual([12, 12]);
});

test("a new leader does not count the report of a restarted process as complete", () => {
  const entries = ["e1"];
  const next = createAllocator(TABLE, { entries, epoch: 2, now: 0 });
  const restarted = createRouter("e1", TABLE);
  const settled = LEASE_MS + MARGIN_MS + MIN_DRAIN_MS;
  renew(restarted, next, { now: settled - 1, epoch: 2 });
  expect(slotsOf(restarted)).toBe(0);
  renew(restarted, next, { now: settled, epoch: 2 });
  expect(slotsOf(restarted)).toBe(24);
});

test("a new target gets a slow start, and a leaving one loses its slots", () => {
  const router = createRouter("e1", TABLE);
  const allocator = createAllocator(TABLE);
  renew(router, allocator, { now: 0 });
  const table = [...TABLE, route("d")];
  allocator.setTargets(table, 1_000);
  router.setTargets(table, 1_000);
  const slots = [1_000, 2_000, 3_000, 4_000].map((now) => {
    renew(router, allocator, { now });
    return slotsOf(router);
  });
  expect(slots).toEqual([26, 28, 30, 32]);
  allocator.setTargets([...TABLE, route("d", { state: "leaving" })], 5_000);
  renew(router, allocator, { now: 5_000 });
  expect(slotsOf(router)).toBe(24);
});

test("targets that a new leader learns of during its grace period keep all their slots", () => {
  const entries = ["e1", "e2"];
  const allocator = createAllocator(TABLE.slice(0, 1), { entries, epoch: 2 });
  allocator.setTargets(TABLE, 500);
  expect(allocator.describe(500).map((account) => account.usable))
    .toEqual([8, 8, 8]);
});

test("with fewer slots than entries, moves the slot of an idle entry to one with queued requests", () => {
  const table = [route("a", { slots: 2 })];
  const routers = ["e1", "e2", "e3"].map((entry) => createRouter(entry, table));
  const allocator = createAllocator(table);
  for (let now = 0; now < 2_000; now += 500) {
    routers.forEach((router) => renew(router, allocator, { now }));
  }
  const starved = routers.find((router) => slotsOf(router) === 0);
  expect(starved?.submit(submission("r1", { deadline: 9_000 }), 2_000))
    .toMatchObject([{ kind: "queue" }]);
  expect(starved?.needsSlots()).toBe(true);
  for (let now = 2_100; now < 3_000; now += 250) {
    routers.forEach((router) => renew(router, allocator, { now }));
  }
  expect(starved?.describe(3_000)[0]?.liveInFlight).toBe(1);
});

test("keeps all entries together within the connections of a target", () => {
  const table = [route("a", { slots: 8, connections: 9 })];
  const routers = ["e1", "e2", "e3"].map((entry) => createRouter(entry, table));
  const allocator = createAllocator(table);
  for (let now = 0; now < 2_000; now += 500) {
    routers.forEach((router) => renew(router, allocator, { now }));
  }
  expect(Math.max(...routers.map(slotsOf))).toBeLessThanOrEqual(3);
});
