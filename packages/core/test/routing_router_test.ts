import { expect, test } from "vitest";
import { route, routerWith, submission } from "./routing_fixture.ts";

test("sends a request if a slot is free, queues the next one, and sends it when the slot becomes free", () => {
  const router = routerWith({ a: 1 });
  expect([
    router.submit(submission("r1"), 0),
    router.submit(submission("r2"), 1),
    router.complete("r1", "ok", 90),
    router.complete("r2", "ok", 180),
  ]).toMatchInlineSnapshot(`
    [
      [
        {
          "address": "127.0.0.1:80",
          "attempt": 1,
          "id": "r1",
          "kind": "send",
          "target": "a",
        },
      ],
      [
        {
          "id": "r2",
          "kind": "queue",
        },
      ],
      [
        {
          "address": "127.0.0.1:80",
          "attempt": 1,
          "id": "r2",
          "kind": "send",
          "target": "a",
        },
      ],
      [],
    ]
  `);
});

test("starts urgent before live requests, and the earliest deadline first within a priority", () => {
  const router = routerWith({ a: 1 });
  router.submit(submission("running"), 0);
  router.submit(submission("live late", { deadline: 4_000 }), 0);
  router.submit(submission("live early", { deadline: 3_000 }), 0);
  router.submit(submission("urgent", { priority: "urgent" }), 0);
  const order: string[] = [];
  let current = "running";
  for (let now = 50; order.length < 3; now += 50) {
    const [next] = router.complete(current, "ok", now);
    current = next?.id ?? "";
    order.push(current);
  }
  expect(order).toEqual(["urgent", "live early", "live late"]);
});

test("refuses a request at once, as not run and with a retry-after time, when the queue is full", () => {
  const router = routerWith({ a: 1 });
  const answers = ["r1", "r2", "r3", "r4", "r5"].map((id) =>
    router.submit(submission(id), 0).at(-1)
  );
  expect(answers.map((answer) => answer?.kind)).toEqual(
    ["send", "queue", "queue", "queue", "refuse"],
  );
  expect(answers.at(-1)).toMatchInlineSnapshot(`
    {
      "fault": {
        "kind": "overloaded",
        "message": "Service "intake" has no free slot and 3 requests wait",
        "outcome": "not run",
        "retryAfterMs": 2660,
      },
      "id": "r5",
      "kind": "refuse",
    }
  `);
});

test("refuses a request at once when it cannot be answered by its deadline", () => {
  const router = routerWith({ a: 1 });
  const [refused] = router.submit(submission("r1", { deadline: 50 }), 0);
  expect(refused).toMatchObject({
    kind: "refuse",
    fault: { kind: "expired", outcome: "not run" },
  });
});

test("refuses a queued request as soon as it can no longer end by its deadline", () => {
  const router = routerWith({ a: 1 });
  router.submit(submission("r1"), 0);
  router.submit(submission("r2", { deadline: 400 }), 0);
  const due = router.nextWakeup();
  expect(due).toBe(300);
  expect(router.expire(due)).toMatchObject([{ kind: "refuse", id: "r2" }]);
});

test("evicts a request of the lowest priority from a full queue for one of a higher priority", () => {
  const router = routerWith({ a: 1 }, { maxQueue: 2 });
  router.submit(submission("running"), 0);
  router.submit(
    submission("night", { priority: "overnight", deadline: 900_000 }),
    0,
  );
  router.submit(submission("live"), 0);
  expect(router.submit(submission("urgent", { priority: "urgent" }), 0))
    .toMatchObject([
      { kind: "refuse", id: "night", fault: { outcome: "not run" } },
      { kind: "queue", id: "urgent" },
    ]);
});

test("answers the caller at a timeout and keeps the slot taken until the attempt ends", () => {
  const router = routerWith({ a: 1 });
  router.submit(submission("r1", { deadline: 200 }), 0);
  expect(router.expire(200)).toMatchObject([
    { kind: "timeout", id: "r1", fault: { outcome: "unknown" } },
  ]);
  expect(router.submit(submission("r2"), 201).at(-1)?.kind).toBe("queue");
  expect(router.complete("r1", "ok", 300)).toMatchObject([
    { kind: "send", id: "r2" },
  ]);
});

test("a cancelled request leaves the queue, but keeps its slot if it is in flight", () => {
  const router = routerWith({ a: 1 });
  router.submit(submission("r1"), 0);
  router.submit(submission("r2"), 0);
  expect(router.cancel("r1", 1)).toEqual([]);
  expect(router.cancel("r2", 1)).toEqual([]);
  expect(router.complete("r1", "failed", 90)).toEqual([]);
  expect(router.submit(submission("r3"), 91)[0]?.kind).toBe("send");
});

test("starts nothing without a lease, and refuses queued requests when the lease expires", () => {
  const router = routerWith({ a: 1 }, { until: 250 });
  router.submit(submission("r1"), 0);
  router.submit(submission("r2"), 0);
  expect(router.mayStart("r1", 249)).toBe(true);
  expect(router.mayStart("r1", 250)).toBe(false);
  expect(router.nextWakeup()).toBe(250);
  expect(router.expire(250)).toMatchObject([
    { kind: "refuse", id: "r2", fault: { kind: "no_lease" } },
  ]);
  expect(router.submit(submission("r3"), 251)).toMatchObject([
    { kind: "refuse", fault: { kind: "no_lease", outcome: "not run" } },
  ]);
});

test("does not use a slot that becomes free after the lease has expired", () => {
  const router = routerWith({ a: 1 }, { until: 250 });
  router.submit(submission("r1"), 0);
  router.submit(submission("r2"), 0);
  expect(router.complete("r1", "ok", 251)).toEqual([]);
});

test("drops the slots of an expired lease, but reports those still in use", () => {
  const router = routerWith({ a: 3, b: 2 }, { until: 250 });
  router.submit(submission("r1"), 0);
  expect(router.report(1, 249)).toMatchObject({
    applied: { epoch: 1, sequence: 1 },
    held: {},
  });
  const { applied, held } = router.report(1, 250);
  expect(applied).toEqual({ epoch: 0, sequence: 0 });
  expect(Object.values(held)).toEqual([1]);
});

test("reports the longest run of an idle service, since its slots may be used again", () => {
  const router = routerWith({ a: 1 });
  router.submit(submission("r1"), 0);
  router.complete("r1", "ok", 4_000);
  expect(router.report(1, 40_000).needs["intake"]).toMatchObject({
    live: 0,
    waiting: 0,
    longestRunMs: expect.any(Number),
  });
});

test("reroutes a request whose target starts leaving before its first byte is sent", () => {
  const router = routerWith({ a: 1, b: 0 });
  router.submit(submission("r1"), 0);
  router.setTargets([route("a", { state: "leaving" }), route("b")], 1);
  expect(router.mayStart("r1", 1)).toBe(false);
  expect(router.complete("r1", "reroute", 1)).toMatchObject([
    { kind: "queue", id: "r1" },
  ]);
  const grant = { epoch: 1, sequence: 2, base: 1, slots: { b: 1 } };
  expect(router.setAllowance({ ...grant, until: 9_000 }, 2)).toMatchObject([
    { kind: "send", id: "r1", target: "b" },
  ]);
});

test.each(["unreachable", "refused"] as const)(
  "retries a request that did not run (%s) on another target",
  (completion) => {
    const router = routerWith({ a: 1, b: 1 });
    const [first] = router.submit(submission("r1"), 0);
    const [second] = router.complete("r1", completion, 10);
    expect([first, second]).toMatchObject([
      { kind: "send", attempt: 1 },
      { kind: "send", attempt: 2 },
    ]);
    expect(second).not.toMatchObject({
      target: (first as { target: string }).target,
    });
  },
);

test("retries a request that may have run only if it is repeatable", () => {
  const router = routerWith({ a: 1, b: 1 });
  router.submit(submission("once"), 0);
  expect(router.complete("once", "failed", 10)).toMatchObject([
    { kind: "fail", id: "once", mayHaveRun: true },
  ]);
  router.submit(submission("again", { repeatable: true }), 20);
  expect(router.complete("again", "failed", 30)[0]).toMatchObject({
    kind: "send",
    attempt: 2,
  });
});

test("never reports a request as not run if one of its attempts may have run", () => {
  const router = routerWith({ a: 1, b: 1 });
  router.submit(submission("r1", { repeatable: true }), 0);
  router.complete("r1", "failed", 10);
  expect(router.complete("r1", "refused", 20)).toMatchObject([
    { kind: "fail", id: "r1", mayHaveRun: true },
  ]);
});

test("answers with the failure of the first attempt when the retry does not start in time", () => {
  const router = routerWith({ a: 1, b: 1 });
  router.submit(submission("other"), 0);
  router.submit(submission("r1", { repeatable: true, deadline: 400 }), 0);
  router.complete("r1", "failed", 10);
  expect(router.expire(300)).toMatchObject([
    { kind: "fail", id: "r1", mayHaveRun: true },
  ]);
});

test("limits retries to a tenth of the load", () => {
  const router = routerWith({ a: 8, b: 8, c: 8 });
  let retries = 0;
  for (let index = 0; index < 200; index++) {
    router.submit(submission(`r${index}`), index);
    const [next] = router.complete(`r${index}`, "refused", index);
    if (next?.kind === "send") {
      retries += 1;
      router.complete(`r${index}`, "ok", index);
    }
  }
  expect(retries).toBeGreaterThan(0);
  expect(retries).toBeLessThanOrEqual(1 + 200 / 10);
});

test("overnight requests wait while live ones need the slots, and go ahead in time to end by their deadlines", () => {
  const router = routerWith({ a: 1 });
  const night = submission("night", {
    priority: "overnight",
    deadline: 20_000,
  });
  let now = 0;
  let current = "live0";
  router.submit(submission(current, { deadline: 5_000 }), now);
  expect(router.submit(night, now).at(-1)?.kind).toBe("queue");
  for (let index = 1; current !== "night" && now < 30_000; index++) {
    router.submit(submission(`live${index}`, { deadline: now + 5_000 }), now);
    now += 100;
    const next = router.complete(current, "ok", now).find((d) =>
      d.kind === "send"
    );
    current = next?.id ?? "";
  }
  expect(current).toBe("night");
  expect(now).toBeGreaterThan(15_000);
  expect(now).toBeLessThan(20_000 - 100);
});

test("does not treat a target as slow because the declared run time is ten times too long", () => {
  const router = routerWith({ a: 1, b: 1 });
  for (let index = 0; index < 5; index++) {
    const now = index * 10;
    router.submit(submission(`r${index}`), now);
    router.complete(`r${index}`, "ok", now + 10);
  }
  const kinds = ["x", "y"].map((id) =>
    router.submit(submission(id), 60)[0]?.kind
  );
  expect(kinds).toEqual(["send", "send"]);
});

test("overnight requests may use every slot of an idle service", () => {
  const router = routerWith({ a: 2 });
  const night = { priority: "overnight", deadline: 60_000 } as const;
  const kinds = ["n1", "n2"].map((id) =>
    router.submit(submission(id, night), 0)[0]?.kind
  );
  expect(kinds).toEqual(["send", "send"]);
});

test.each([
  ["late", { until: 10 }],
  ["out of order", { sequence: 2, base: 0 }],
  ["based on a grant that was not applied", { sequence: 5, base: 4 }],
  ["from an earlier leader", { epoch: 1, base: 0, sequence: 9 }],
])("ignores a grant that is %s", (_, changes) => {
  const router = routerWith({});
  router.setTargets([route("a")], 0);
  const grant = { epoch: 2, sequence: 3, base: 0, slots: { a: 1 }, until: 900 };
  router.setAllowance(grant, 5);
  const next = { ...grant, sequence: 4, base: 3, slots: { a: 2 } };
  router.setAllowance({ ...next, ...changes }, 10);
  expect(router.describe(10)[0]?.slots).toBe(1);
  router.setAllowance(next, 10);
  expect(router.describe(10)[0]?.slots).toBe(2);
});
