import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { ClusterFixture } from "./harness/cluster_fixture.ts";

/** The target of the system: a target that leaves gets nothing new after this time. */
const LEAVE_MS = 3_000;

/** Runs elsewhere that show that requests went on long after the target had to be left alone. */
const RUNS_AFTER = 200;

describe("a target that leaves", () => {
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

  /** A caller that sends one request after the other through an entry. */
  const call = async (entry: string): Promise<void> => {
    for (let number = 0; !stopped; number += 1) {
      await fixture.send(entry, {
        service: "intake",
        path: `/${entry}/${number}`,
      });
    }
  };

  /** Runs at a VM that began later than the system may take, once many have run elsewhere. */
  const lateRuns = async (vm: string, leftAt: number): Promise<string[]> => {
    const after = (): typeof fixture.runs =>
      fixture.runs.filter((run) => run.at > leftAt + LEAVE_MS);
    await cluster.waitFor("many later runs", () => after().length > RUNS_AFTER);
    return after().filter((run) => run.vm === vm).map((run) =>
      `${run.path} after ${run.at - leftAt} ms`
    );
  };

  /** Waits until a VM has run something that came through an entry. */
  const used = (vm: string, entry: string): Promise<void> => {
    const since = fixture.runs.length;
    return cluster.waitFor(
      `a run at ${vm} through ${entry}`,
      () =>
        fixture.runs.slice(since).some((run) =>
          run.vm === vm && run.path.startsWith(`/${entry}/`)
        ),
    );
  };

  it("gets nothing new through any entry, also one that is cut off from the leader", async () => {
    await used("vm-1", "e4");
    cluster.relaysOf("e4").forEach((relay) => relay.silence());
    const leftAt = Date.now();
    await fixture.announceLeaving("vm-1/intake");
    expect(await lateRuns("vm-1", leftAt)).toEqual([]);
    cluster.relaysOf("e4").forEach((relay) => relay.heal());
    await fixture.waitUntilServing(["e4"]);
    expect(await lateRuns("vm-1", leftAt)).toEqual([]);
  });

  it("gets nothing new through an entry that was frozen, when it goes on", async () => {
    await used("vm-3", "e4");
    cluster.signal("e4", "SIGSTOP");
    const leftAt = Date.now();
    await fixture.announceLeaving("vm-3/intake");
    expect(await lateRuns("vm-3", leftAt)).toEqual([]);
    cluster.signal("e4", "SIGCONT");
    await fixture.waitUntilServing(["e4"]);
    expect(await lateRuns("vm-3", leftAt)).toEqual([]);
  });

  it("gets nothing new although the leader is killed", async () => {
    const leader = await cluster.leader();
    const leftAt = Date.now();
    await fixture.announceLeaving("vm-5/intake");
    await cluster.kill(leader);
    expect(await lateRuns("vm-5", leftAt)).toEqual([]);
    cluster.startDaemon(leader);
    await fixture.waitUntilServing(cluster.names);
    expect(await lateRuns("vm-5", leftAt)).toEqual([]);
  });

  it("gets nothing new on a VM that is drained, and nothing at all once it is drained", async () => {
    await used("vm-7", "e1");
    cluster.relaysOf("e4").forEach((relay) => relay.silence());
    const servedAt = await fixture.drain("vm-7", "e1");
    const runs = fixture.runs.filter((run) => run.vm === "vm-7").length;
    expect(await lateRuns("vm-7", servedAt)).toEqual([]);
    cluster.relaysOf("e4").forEach((relay) => relay.heal());
    await fixture.waitUntilServing(["e4"]);
    expect(await lateRuns("vm-7", servedAt)).toEqual([]);
    expect(fixture.runs.filter((run) => run.vm === "vm-7").length).toBe(runs);
    await fixture.orderAndWait("vm-7", "resume", "e2");
    await used("vm-7", "e1");
  });
});
