import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { Fleet, Run } from "@quetzalcove/emulator";
import { callAdmin } from "@quetzalcove/emulator";
import { Cluster } from "./harness/cluster.ts";
import {
  call,
  type ReceivedAnswer,
  runCountOf,
  testFleet,
  testInventory,
  testRules,
} from "./harness/services.ts";

describe("a request with an idempotency key", () => {
  const configuration = { inventory: testInventory(4), rules: testRules() };
  const cluster = new Cluster({ entries: 4, replicas: 3 });
  const runs: Run[] = [];
  let fleet: Fleet;

  beforeAll(async () => {
    await cluster.start();
    await cluster.configure("e1", {
      change: "first",
      base: 0,
      ...configuration,
    });
    fleet = testFleet(configuration, cluster.services(), runs);
    await fleet.start();
    await cluster.waitFor(
      "targets",
      async () => (await cluster.status("e1"))?.counts.targets === 4,
    );
    await cluster.waitFor("all entries to serve", async () => {
      const answers = await Promise.all(cluster.names.map((name) => {
        return call({
          entry: cluster.service(name),
          service: "intake",
          path: "/ready",
        });
      }));
      return answers.every((one) => one?.status === 200);
    });
  });

  afterAll(async () => {
    await fleet.stop();
    await cluster.stop();
  });

  const submit = (
    entry: string,
    key: string,
    options: object = {},
  ): Promise<ReceivedAnswer | undefined> => {
    const path = `/reports/${key}`;
    return call({
      entry: cluster.service(entry),
      service: "intake",
      path,
      key,
      ...options,
    });
  };

  it("runs once, and a retry through another entry gets the stored answer", async () => {
    const first = await submit("e1", "once");
    const second = await submit("e2", "once");
    expect({ first, second, runs: runCountOf(runs, "once") })
      .toMatchInlineSnapshot(
        `
      {
        "first": {
          "outcome": "done",
          "own": true,
          "replayed": false,
          "retryAfter": false,
          "status": 200,
        },
        "runs": 1,
        "second": {
          "outcome": "done",
          "own": true,
          "replayed": true,
          "retryAfter": false,
          "status": 200,
        },
      }
    `,
      );
  });

  it("runs once when it is sent through all entries concurrently", async () => {
    const answers = await Promise.all(cluster.names.map((name) => {
      return submit(name, "race", { emulate: { runMs: 200 } });
    }));
    const outcomes = answers.map((one) => one?.outcome).sort();
    expect({ outcomes, runs: runCountOf(runs, "race") }).toMatchInlineSnapshot(`
      {
        "outcomes": [
          "done",
          "running",
          "running",
          "running",
        ],
        "runs": 1,
      }
    `);
  });

  it("is refused when the key was used for a different request", async () => {
    await submit("e1", "reused");
    const other = await submit("e2", "reused", { body: "another estimate" });
    expect(other).toMatchObject({ status: 422, outcome: "not run" });
    expect(runCountOf(runs, "reused")).toBe(1);
  });

  it("has an unknown outcome and does not run again when the target truncates its answer", async () => {
    const first = await submit("e1", "broken", {
      emulate: { failure: "short" },
    });
    expect(first).toMatchObject({
      status: 502,
      outcome: "unknown",
      own: false,
    });
    await cluster.waitFor("the unknown outcome in the ledger", async () => {
      return (await submit("e2", "broken"))?.outcome === "unknown";
    });
    expect(runCountOf(runs, "broken")).toBe(1);
  });

  it("is reported as running after its deadline, and its late answer is stored", async () => {
    const late = { emulate: { runMs: 700 }, deadlineMs: 200 };
    const first = await submit("e1", "late", late);
    expect(first).toMatchObject({
      status: 504,
      outcome: "running",
      retryAfter: true,
    });
    await cluster.waitFor("the late answer", async () => {
      return (await submit("e2", "late", late))?.outcome === "done";
    });
    expect(runCountOf(runs, "late")).toBe(1);
  });

  it("has an unknown outcome after its entry was killed, until the operator settles it", async () => {
    const answerOfKilled = submit("e4", "orphan", {
      emulate: { runMs: 2_000 },
    });
    await cluster.waitFor(
      "the run of the request",
      () => runCountOf(runs, "orphan") === 1,
    );
    await cluster.kill("e4");
    expect(await answerOfKilled).toBeUndefined();
    expect((await submit("e1", "orphan"))?.outcome).toMatch(/running|unknown/);
    await cluster.waitFor("fencing of the killed entry", async () => {
      return (await submit("e1", "orphan"))?.outcome === "unknown";
    });
    const key = "anonymous/orphan";
    const listed = await callAdmin<{ attempts: { key: string }[] }>(
      cluster.admin("e1"),
      "/v1/requests?phase=unknown",
    );
    expect(listed?.value.attempts.map((attempt) => attempt.key)).toContain(key);
    const settle = { key, outcome: "ran" };
    expect(
      (await callAdmin(cluster.admin("e2"), "/v1/requests/settle", settle))
        ?.status,
    ).toBe(200);
    expect(await submit("e3", "orphan")).toMatchObject({
      status: 204,
      outcome: "done",
    });
    expect(runCountOf(runs, "orphan")).toBe(1);
  });

  it("runs at most once while the leader is killed", async () => {
    cluster.startDaemon("e4");
    const leader = await cluster.leader();
    const others = cluster.names.filter((name) => name !== leader);
    const keys = Array.from({ length: 60 }, (_, index) => `failover-${index}`);
    const killed = cluster.kill(leader);
    const results = await Promise.all(keys.map(async (key, index) => {
      const entry = others[index % others.length] ?? "";
      let answer = await submit(entry, key);
      await cluster.waitFor(`an answer for ${key}`, async () => {
        answer = answer?.outcome === "done" ? answer : await submit(entry, key);
        return answer?.outcome === "done" || answer?.outcome === "unknown";
      });
      return { key, outcome: answer?.outcome, runs: runCountOf(runs, key) };
    }));
    await killed;
    cluster.startDaemon(leader);
    expect(results.filter((one) => one.runs > 1)).toEqual([]);
    expect(results.filter((one) => one.outcome === "done" && one.runs !== 1))
      .toEqual([]);
  });
});
