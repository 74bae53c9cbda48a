import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { Cluster } from "./harness/cluster.ts";
import { testInventory, testRules } from "./harness/services.ts";

/** Requirement: a change is in force at all entries within this time. */
const MAX_IN_FORCE_MS = 8_000;

describe("a configuration change", () => {
  const cluster = new Cluster({ entries: 5, replicas: 3 });
  const configuration = { inventory: testInventory(6), rules: testRules() };

  beforeAll(() => cluster.start());
  afterAll(() => cluster.stop());

  const version = async (name: string): Promise<number> => {
    return (await cluster.status(name))?.version ?? -1;
  };

  /** Waits until a revision is in force and returns how long that took. */
  const waitInForce = async (
    name: string,
    revision: number,
  ): Promise<number> => {
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

  /** Revision of the view from which an entry serves. */
  const viewRevision = async (name: string): Promise<number> => {
    const answer = await fetch(`http://${cluster.admin(name)}/metrics`);
    return Number(
      /^quetzalcove_view_revision (\S+)/m.exec(await answer.text())?.[1],
    );
  };

  it("is accepted from exactly one of the operators that base theirs on the same version", async () => {
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

  it("gets its first answer again when it is retried", async () => {
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

  it("is refused as a whole when one reference is invalid", async () => {
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

  it("is in force in time while an entry is partitioned", async () => {
    cluster.relaysOf("e5").forEach((relay) => relay.dropBytes());
    const base = await version("e1");
    const answer = await cluster.configure("e1", {
      change: "cut",
      base,
      ...configuration,
    });
    expect(await waitInForce("e1", answer!.value.revision)).toBeLessThan(
      MAX_IN_FORCE_MS,
    );
    const health = await callAdmin(cluster.admin("e5"), "/healthz");
    expect(health?.status).toBe(503);
    cluster.relaysOf("e5").forEach((relay) => relay.heal());
    await cluster.waitFor(
      "the new view at e5",
      async () => await viewRevision("e5") >= answer!.value.revision,
    );
  });

  it("never reverts at an entry that was frozen past its lease", async () => {
    const base = await version("e1");
    const before = await viewRevision("e4");
    cluster.signal("e4", "SIGSTOP");
    const answer = await cluster.configure("e1", {
      change: "frozen",
      base,
      ...configuration,
    });
    expect(await waitInForce("e1", answer!.value.revision)).toBeLessThan(
      MAX_IN_FORCE_MS,
    );
    cluster.signal("e4", "SIGCONT");
    const revisions: number[] = [before];
    await cluster.waitFor("the new view at e4", async () => {
      revisions.push(await viewRevision("e4"));
      return revisions.at(-1)! >= answer!.value.revision;
    });
    expect(revisions).toEqual([...revisions].sort((a, b) => a - b));
  });

  it("is in force in time when the leader is killed right after accepting it", async () => {
    const leader = await cluster.leader();
    const other = cluster.names.find((name) => name !== leader) ?? "";
    const base = await version(other);
    const answer = await cluster.configure(other, {
      change: "killed",
      base,
      ...configuration,
    });
    await cluster.kill(leader);
    expect(await waitInForce(other, answer!.value.revision)).toBeLessThan(
      MAX_IN_FORCE_MS,
    );
    expect(await version(other)).toBe(base + 1);
    cluster.startDaemon(leader);
    await cluster.waitFor(`the new view at ${leader}`, async () => {
      return await viewRevision(leader).catch(() => -1) >=
        answer!.value.revision;
    });
  });
});
