import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { Cluster } from "./harness/cluster.ts";
import { testInventory, testRules } from "./harness/services.ts";

/** The target of the system: a change is in force everywhere within this time. */
const IN_FORCE_MS = 8_000;

describe("a configuration change", () => {
  const cluster = new Cluster({ entries: 5, replicas: 3 });
  const configuration = { inventory: testInventory(6), rules: testRules() };

  beforeAll(() => cluster.start());
  afterAll(() => cluster.stop());

  const version = async (name: string): Promise<number> => {
    return (await cluster.status(name))?.version ?? -1;
  };

  /** Waits until a revision is in force and returns how long that took. */
  const inForce = async (name: string, revision: number): Promise<number> => {
    const startedAt = performance.now();
    await cluster.waitFor(`revision ${revision} in force`, async () => {
      const answer = await callAdmin<{ inForce: boolean }>(
        cluster.admin(name),
        `/v1/force?revision=${revision}`,
      );
      return answer?.value.inForce === true;
    });
    return performance.now() - startedAt;
  };

  /** Revision of the view that an entry serves from. */
  const viewOf = async (name: string): Promise<number> => {
    const answer = await fetch(`http://${cluster.admin(name)}/metrics`);
    return Number(
      /^quetzalcove_view_revision (\S+)/m.exec(await answer.text())?.[1],
    );
  };

  it("is won by exactly one of the operators that build on the same version", async () => {
    const answers = await Promise.all(cluster.names.map((name, index) => {
      return cluster.configure(name, {
        change: `race-${index}`,
        base: 0,
        ...configuration,
      });
    }));
    const statuses = answers.map((answer) => answer?.status).sort();
    expect(statuses).toEqual([200, 409, 409, 409, 409]);
    expect(await version("e1")).toBe(1);
  });

  it("gets the first answer again when it is sent again", async () => {
    const change = { change: "again", base: 1, ...configuration };
    const first = await cluster.configure("e2", change);
    const second = await cluster.configure("e4", change);
    const later = await cluster.configure("e1", {
      ...change,
      change: "later",
      base: 2,
    });
    const third = await cluster.configure("e5", change);
    expect(first?.status).toBe(200);
    expect([second?.value, third?.value]).toEqual([first?.value, first?.value]);
    expect(later?.value.version).toBe(3);
  });

  it("is refused whole when one reference is wrong", async () => {
    const before = await version("e1");
    const inventory = testInventory(6);
    inventory.vms[5] = { ...inventory.vms[5]!, rack: "rack-9" };
    const rules = testRules();
    const answer = await cluster.configure("e3", {
      change: "bad",
      base: before,
      inventory,
      rules,
    });
    expect(answer?.status).toBe(400);
    expect(answer?.value).toMatchObject({
      fault: {
        kind: "invalid",
        path: "inventory.vms[5].rack",
        message: expect.stringContaining('rack "rack-9" does not exist'),
      },
    });
    expect(await version("e1")).toBe(before);
  });

  it("is in force in time although an entry was cut off", async () => {
    cluster.relaysOf("e5").forEach((relay) => relay.silence());
    const base = await version("e1");
    const answer = await cluster.configure("e1", {
      change: "cut",
      base,
      ...configuration,
    });
    expect(await inForce("e1", answer!.value.revision)).toBeLessThan(
      IN_FORCE_MS,
    );
    const health = await callAdmin(cluster.admin("e5"), "/healthz");
    expect(health?.status).toBe(503);
    cluster.relaysOf("e5").forEach((relay) => relay.heal());
    await cluster.waitFor(
      "the view of e5",
      async () => await viewOf("e5") >= answer!.value.revision,
    );
  });

  it("never reverts on an entry that was frozen past its lease", async () => {
    const base = await version("e1");
    const before = await viewOf("e4");
    cluster.signal("e4", "SIGSTOP");
    const answer = await cluster.configure("e1", {
      change: "frozen",
      base,
      ...configuration,
    });
    expect(await inForce("e1", answer!.value.revision)).toBeLessThan(
      IN_FORCE_MS,
    );
    cluster.signal("e4", "SIGCONT");
    const revisions: number[] = [before];
    await cluster.waitFor("the view of e4", async () => {
      revisions.push(await viewOf("e4"));
      return revisions.at(-1)! >= answer!.value.revision;
    });
    expect(revisions).toEqual([...revisions].sort((a, b) => a - b));
  });

  it("is in force in time although the leader is killed right after it was accepted", async () => {
    const leader = await cluster.leader();
    const other = cluster.names.find((name) => name !== leader) ?? "";
    const base = await version(other);
    const answer = await cluster.configure(other, {
      change: "killed",
      base,
      ...configuration,
    });
    await cluster.kill(leader);
    expect(await inForce(other, answer!.value.revision)).toBeLessThan(
      IN_FORCE_MS,
    );
    expect(await version(other)).toBe(base + 1);
    cluster.startDaemon(leader);
    await cluster.waitFor(`${leader} is back`, async () => {
      return await viewOf(leader).catch(() => -1) >= answer!.value.revision;
    });
  });
});
