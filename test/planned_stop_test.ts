import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { ClusterFixture, falseAnswers } from "./harness/cluster_fixture.ts";

const CALLERS = 16;
const HEALTH_CHECK_INTERVAL_MS = 100;

describe("a planned stop under load", () => {
  const fixture = new ClusterFixture({
    entries: 4,
    replicas: 3,
    vms: 8,
    runMs: 20,
    settings: { stop: { noticeMs: 1_000, graceMs: 10_000 } },
  });
  const { cluster } = fixture;
  let healthy: string[] = [];
  let stopped = false;
  let tasks: Promise<void>[] = [];

  beforeAll(async () => {
    await fixture.start();
    healthy = cluster.names;
    tasks = [
      checkHealth(),
      ...Array.from({ length: CALLERS }, (_, index) => call(index)),
    ];
  });

  afterAll(async () => {
    stopped = true;
    await Promise.all(tasks);
    await fixture.stop();
  });

  /** Emulates the load balancer: callers avoid entries whose health check fails. */
  const checkHealth = async (): Promise<void> => {
    while (!stopped) {
      const answers = await Promise.all(
        cluster.names.map((name) => callAdmin(cluster.admin(name), "/healthz")),
      );
      healthy = cluster.names.filter((_, index) =>
        answers[index]?.status === 200
      );
      await new Promise((resolve) =>
        setTimeout(resolve, HEALTH_CHECK_INTERVAL_MS)
      );
    }
  };

  const call = async (caller: number): Promise<void> => {
    for (let number = 0; !stopped; number += 1) {
      const entry = healthy[(caller + number) % healthy.length] ?? "e1";
      const name = `${caller}-${number}`;
      const options = { service: "intake", path: `/reports/${name}` };
      await fixture.send(
        entry,
        caller % 2 === 0 ? options : { ...options, key: name },
      );
    }
  };

  /** Exchanges with a lost, unknown, incomplete or false answer, as JSON. */
  const failedExchanges = (): string[] => {
    const failed = fixture.exchanges.filter(({ answer }) =>
      answer === undefined || answer.outcome === "unknown" ||
      (answer.outcome === "done" && !answer.own)
    );
    return [...failed, ...falseAnswers(fixture.exchanges)].map((one) =>
      JSON.stringify(one)
    );
  };

  const waitForAnswers = (count: number): Promise<void> => {
    const expectedCount = fixture.exchanges.length + count;
    return cluster.waitFor(
      `${count} further answers`,
      () => fixture.exchanges.length >= expectedCount,
    );
  };

  it("of a VM interrupts no request", async () => {
    await waitForAnswers(200);
    await fixture.orderAndWait("vm-1", "drain", "e1");
    const runs = fixture.runs.filter((run) => run.vm === "vm-1").length;
    expect(fixture.target("vm-1/intake").activeRequests).toBe(0);
    await waitForAnswers(200);
    expect(fixture.runs.filter((run) => run.vm === "vm-1").length).toBe(runs);
    await fixture.orderAndWait("vm-1", "resume", "e1");
    await cluster.waitFor(
      "further runs at vm-1",
      () => fixture.runs.filter((run) => run.vm === "vm-1").length > runs,
    );
    expect(failedExchanges()).toEqual([]);
  });

  it("of each entry in turn interrupts no request", async () => {
    for (const name of cluster.names) {
      expect(await cluster.terminate(name)).toBe(0);
      expect(cluster.log(name)).toContain("event=daemon.stopped");
      await waitForAnswers(100);
      cluster.startDaemon(name);
      await cluster.waitFor(`${name} serves`, () => healthy.includes(name));
    }
    expect(failedExchanges()).toEqual([]);
  });

  it("of the leader transfers the leadership before the process exits", async () => {
    const leader = await cluster.leader();
    const term = (await cluster.status(leader))?.term ?? 0;
    expect(await cluster.terminate(leader)).toBe(0);
    expect(cluster.log(leader)).toMatch(
      /event=raft.role role=follower[^\n]*\n(.*\n)*.*event=daemon.stopped/,
    );
    const others = cluster.names.filter((name) => name !== leader);
    const next = await cluster.leader(others);
    expect(next).not.toBe(leader);
    expect((await cluster.status(next))?.term).toBe(term + 1);
    await waitForAnswers(100);
    cluster.startDaemon(leader);
    await cluster.waitFor(`${leader} serves`, () => healthy.includes(leader));
    expect(failedExchanges()).toEqual([]);
  });
});
