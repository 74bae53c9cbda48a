import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin, type Fleet, type Run } from "@quetzalcove/emulator";
import { Cluster } from "./harness/cluster.ts";
import {
  call,
  testFleet,
  testInventory,
  testRules,
} from "./harness/services.ts";

describe("an entry", () => {
  const configuration = {
    inventory: testInventory(4),
    rules: testRules({ maxAnswerBytes: 10_000, maxRequestBytes: 1_000 }),
  };
  const cluster = new Cluster({ entries: 2, replicas: 1 });
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
    await cluster.waitFor("both entries to serve", async () => {
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

  const entry = cluster.service("e1");

  it("returns complete answers to the right callers when many arrive late and out of order", async () => {
    const calls = Array.from({ length: 400 }, (_, index) => {
      const emulate = {
        runMs: (index * 7) % 60,
        padding: (index * 37) % 5_000,
      };
      const at = cluster.service(index % 2 === 0 ? "e1" : "e2");
      return call({
        entry: at,
        service: "intake",
        path: `/reports/${index}`,
        emulate,
      });
    });
    const answers = await Promise.all(calls);
    const done = answers.filter((one) => one?.outcome === "done");
    expect(done.length).toBeGreaterThan(0);
    expect(done.filter((one) => !one?.own)).toEqual([]);
    expect(
      answers.filter((one) =>
        one?.outcome !== "done" && one?.outcome !== "not run"
      ),
    ).toEqual([]);
  });

  it.each(
    [
      ["truncated", { failure: "short" }],
      ["sent without a declared length", { failure: "undeclared" }],
      ["longer than maxAnswerBytes", { padding: 20_000 }],
      ["never sent", { failure: "silent" }],
    ] as const,
  )(
    "never passes on a part of an answer that is %s",
    async (_name, emulate) => {
      const options = {
        entry,
        service: "intake",
        path: "/reports/partial",
        body: "x",
        emulate,
      };
      const answer = await call({ ...options, deadlineMs: 1_500 });
      expect(answer?.own).toBe(false);
      expect(answer?.outcome).toBe("unknown");
      expect([502, 504]).toContain(answer?.status);
    },
  );

  it("does not pass the answer of a disconnected caller to another request", async () => {
    const socket = connect({
      host: entry.split(":")[0],
      port: Number(entry.split(":")[1]),
    });
    socket.write(
      'GET /intake/gone HTTP/1.1\r\nhost: x\r\nx-emulate: {"runMs":300}\r\n\r\n',
    );
    await cluster.waitFor(
      "the run of the request",
      () => runs.some((run) => run.path === "/gone"),
    );
    socket.destroy();
    const answers = await Promise.all(Array.from({ length: 40 }, (_, index) => {
      return call({ entry, service: "intake", path: `/next/${index}` });
    }));
    const done = answers.filter((one) => one?.outcome === "done");
    expect(done.length).toBeGreaterThan(0);
    expect(done.filter((one) => !one?.own)).toEqual([]);
  });

  it.each([
    ["an unknown service", "/nobody/x", {}, 404],
    ["no service", "/", {}, 404],
    [
      "an unknown priority",
      "/intake/x",
      { "x-quetzalcove-priority": "soon" },
      400,
    ],
    [
      "a zero deadline",
      "/intake/x",
      { "x-quetzalcove-deadline-ms": "0" },
      400,
    ],
    ["an empty idempotency key", "/intake/x", { "idempotency-key": "" }, 400],
  ])(
    "describes the fault of a request with %s as a problem document",
    async (_name, path, headers, status) => {
      const answer = await fetch(`http://${entry}${path}`, {
        headers: headers as Record<string, string>,
      });
      expect(answer.status).toBe(status);
      expect(answer.headers.get("content-type")).toBe(
        "application/problem+json",
      );
      expect(answer.headers.get("x-quetzalcove-outcome")).toBe("not run");
    },
  );

  it("refuses a body longer than maxRequestBytes", async () => {
    const body = "x".repeat(2_000);
    const answer = await call({
      entry,
      service: "intake",
      path: "/long",
      body,
    });
    expect(answer).toMatchObject({ status: 413, outcome: "not run" });
    expect(runs.some((run) => run.path === "/long")).toBe(false);
  });

  it("does not forward a request that ends before its declared length", async () => {
    const host = entry.split(":")[0];
    const socket = connect({ host, port: Number(entry.split(":")[1]) });
    socket.end(
      "POST /intake/truncated HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nshort",
    );
    await new Promise((resolve) => socket.once("close", resolve).resume());
    await call({ entry, service: "intake", path: "/after" });
    expect(runs.some((run) => run.path === "/truncated")).toBe(false);
  });

  it("refuses a request with both content-length and transfer-encoding, which could smuggle another one", async () => {
    const host = entry.split(":")[0];
    const socket = connect({ host, port: Number(entry.split(":")[1]) });
    socket.write(
      "POST /intake/smuggled HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n" +
        "transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /intake/hidden HTTP/1.1\r\nhost: x\r\n\r\n",
    );
    const answer = await new Promise<string>((resolve) =>
      socket.once("data", (b) => resolve(`${b}`))
    );
    socket.destroy();
    expect(answer).toMatch(/^HTTP\/1\.1 400 /);
    expect(runs.some((run) => /smuggled|hidden/.test(run.path))).toBe(false);
  });

  it("returns the id of a trace with a span for each hop", async () => {
    const answer = await fetch(
      `http://${cluster.service("e2")}/intake/traced`,
      {
        method: "POST",
        body: "estimate",
        headers: { "idempotency-key": "traced" },
      },
    );
    const trace = answer.headers.get("x-quetzalcove-trace") ?? "";
    const spans: string[] = [];
    await cluster.waitFor("all spans", async () => {
      const answer = await callAdmin<
        { spans: { name: string; entry: string }[] }
      >(
        cluster.admin("e2"),
        `/v1/traces/${trace}`,
      );
      spans.splice(
        0,
        spans.length,
        ...(answer?.value.spans ?? []).map((span) =>
          `${span.name} ${span.entry}`
        ),
      );
      return spans.length === 5;
    });
    expect(spans.sort()).toMatchInlineSnapshot(`
      [
        "entry e2",
        "ledger e2",
        "link e1",
        "queue e2",
        "target e2",
      ]
    `);
  });
});
