import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { ClusterFixture } from "./harness/cluster_fixture.ts";

/** Requirement: a leaving target gets no new requests after this time. */
const MAX_LEAVE_MS = 3_000;

/** Number of runs after `MAX_LEAVE_MS`, at any target, that shows that the load continued. */
const MIN_LATER_RUNS = 200;

describe("a leaving target", () => {
  const fixture = new ClusterFixture({
    entries: 4,
    replicas: 3,
    vms: 12,
    runMs: 5,
  });
  const { cluster } = fixture;
  let stopped = false;
  let callers: Promise<void>[] = [];

  beforeAll(async () => {
    await fixture.start();
    callers = cluster.names.flatMap((
      name,
    ) => [call(name), call(name), call(name)]);
  });

  afterAll(async () => {
    stopped = true;
    await Promise.all(callers);
    await fixture.stop();
  });

  /** Sends one request after the other through an entry. */
  const call = async (entry: string): Promise<void> => {
    for (let number = 0; !stopped; number += 1) {
      await fixture.send(entry, {
        service: "intake",
        path: `/${entry}/${number}`,
      });
    }
  };

  /** Runs at a VM that started more than `MAX_LEAVE_MS` after it left, read once many later runs took place. */
  const lateRuns = async (vm: string, leftAt: number): Promise<string[]> => {
    const after = (): typeof fixture.runs =>
      fixture.runs.filter((run) => run.at > leftAt + MAX_LEAVE_MS);
    await cluster.waitFor(
      "many later runs",
      () => after().length > MIN_LATER_RUNS,
    );
    return after().filter((run) => run.vm === vm).map((run) =>
      `${run.path} after ${run.at - leftAt} ms`
    );
  };

  /** Waits until a VM runs a request that came through an entry. */
  const waitForRun = (vm: string, entry: string): Promise<void> => {
    const since = fixture.runs.length;
    return cluster.waitFor(
      `a run at ${vm} through ${entry}`,
      () =>
        fixture.runs.slice(since).some((run) =>
          run.vm === vm && run.path.startsWith(`/${entry}/`)
        ),
    );
  };

  it("gets no new requests through any entry, including one that is partitioned from the leader", async () => {
    await waitForRun("vm-1", "e4");
    cluster.relaysOf("e4").forEach((relay) => relay.dropBytes());
    const leftAt = Date.now();
    await fixture.announceLeaving("vm-1/intake");
    expect(await lateRuns("vm-1", leftAt)).toEqual([]);
    cluster.relaysOf("e4").forEach((relay) => relay.heal());
    await fixture.waitUntilServing(["e4"]);
    expect(await lateRuns("vm-1", leftAt)).toEqual([]);
  });

  it("gets no new requests through a frozen entry when it resumes", async () => {
    await waitForRun("vm-3", "e4");
    cluster.signal("e4", "SIGSTOP");
    const leftAt = Date.now();
    await fixture.announceLeaving("vm-3/intake");
    expect(await lateRuns("vm-3", leftAt)).toEqual([]);
    cluster.signal("e4", "SIGCONT");
    await fixture.waitUntilServing(["e4"]);
    expect(await lateRuns("vm-3", leftAt)).toEqual([]);
  });

  it("gets no new requests when the leader is killed", async () => {
    const leader = await cluster.leader();
    const leftAt = Date.now();
    await fixture.announceLeaving("vm-5/intake");
    await cluster.kill(leader);
    expect(await lateRuns("vm-5", leftAt)).toEqual([]);
    cluster.startDaemon(leader);
    await fixture.waitUntilServing(cluster.names);
    expect(await lateRuns("vm-5", leftAt)).toEqual([]);
  });

  it("gets no new requests when its VM is draining, and no runs once the VM is drained", async () => {
    await waitForRun("vm-7", "e1");
    cluster.relaysOf("e4").forEach((relay) => relay.dropBytes());
    const servedAt = await fixture.drain("vm-7", "e1");
    const runs = fixture.runs.filter((run) => run.vm === "vm-7").length;
    expect(await lateRuns("vm-7", servedAt)).toEqual([]);
    cluster.relaysOf("e4").forEach((relay) => relay.heal());
    await fixture.waitUntilServing(["e4"]);
    expect(await lateRuns("vm-7", servedAt)).toEqual([]);
    expect(fixture.runs.filter((run) => run.vm === "vm-7").length).toBe(runs);
    await fixture.orderAndWait("vm-7", "resume", "e2");
    await waitForRun("vm-7", "e1");
  });
});
