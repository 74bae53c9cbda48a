import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { ClusterFixture, falseAnswers } from "./harness/cluster_fixture.ts";
import type { ReceivedAnswer } from "./harness/services.ts";

/** Delay of each chunk between e4 and the others, so that a grant of the ledger is long on its way. */
const DELAY_MS = 250;

/** Slots of one entry: two VMs of eight slots shared by four entries. More requests would not run at once. */
const SLOTS_OF_ENTRY = 4;

describe("a request that is interrupted between the ledger and its target", () => {
  const fixture = new ClusterFixture({ entries: 4, replicas: 3, vms: 4 });
  const { cluster } = fixture;

  beforeAll(() => fixture.start());
  afterAll(() => fixture.stop());

  const submit = (
    entry: string,
    key: string,
    more: object = {},
  ): Promise<ReceivedAnswer | undefined> => {
    const path = `/reports/${key}`;
    return fixture.send(entry, { service: "intake", path, key, ...more });
  };

  const runs = (keys: readonly string[]): number[] =>
    keys.map((key) => fixture.runCount({ key, path: "" }));

  /** Keys of attempts in a phase. */
  const held = async (phase: string): Promise<string[]> => {
    const answer = await callAdmin<{ attempts?: { key: string }[] }>(
      cluster.admin("e1"),
      `/v1/requests?phase=${phase}`,
    );
    return (answer?.value.attempts ?? []).map(({ key }) =>
      key.replace("anonymous/", "")
    );
  };

  /**
   * Requests through e4 whose attempts are in the ledger at one moment. That moment is short and may pass between two
   * looks, so requests that have all ended are followed by others.
   */
  const underWay = async (): Promise<
    { keys: string[]; first: Promise<ReceivedAnswer | undefined>[] }
  > => {
    for (let round = 0;; round += 1) {
      const keys = Array.from(
        { length: SLOTS_OF_ENTRY - 1 },
        (_, index) => `frozen-${round}-${index}`,
      );
      const first = keys.map((key) => submit("e4", key));
      let areOver = false;
      void Promise.all(first).then(() => areOver = true);
      let areRunning = false;
      await cluster.waitFor("attempts in the ledger", async () => {
        const running = await held("running");
        areRunning = keys.every((key) => running.includes(key));
        return areRunning || areOver;
      });
      if (areRunning) {
        return { keys, first };
      }
    }
  };

  it("is not sent by an entry that was frozen past its lease", async () => {
    cluster.relaysOf("e4").forEach((relay) => relay.delay(DELAY_MS));
    const { keys, first } = await underWay();
    cluster.signal("e4", "SIGSTOP");
    await cluster.waitFor("fenced attempts", async () => {
      const unknown = await held("unknown");
      return keys.every((key, index) =>
        unknown.includes(key) || runs(keys)[index] === 1
      );
    });
    const before = runs(keys);
    expect(before).toContain(0);
    cluster.signal("e4", "SIGCONT");
    cluster.relaysOf("e4").forEach((relay) => relay.delay(0));
    const answers = await Promise.all(first);
    expect(runs(keys)).toEqual(before);
    expect(answers.map((one) => one?.outcome)).toContain("unknown");
    const key = keys[before.indexOf(0)] ?? "";
    const settle = { key: `anonymous/${key}`, outcome: "not run" };
    for (const name of ["e1", "e2"]) {
      const settled = await callAdmin(
        cluster.admin(name),
        "/v1/requests/settle",
        settle,
      );
      expect(settled?.status).toBe(200);
    }
    await cluster.waitFor(
      "the run",
      async () => (await submit("e2", key))?.outcome === "done",
    );
    expect(runs([key])).toEqual([1]);
    await fixture.waitUntilServing(["e4"]);
    expect(falseAnswers(fixture.exchanges)).toEqual([]);
  });

  it("leaves no key behind when its caller goes away at any moment", async () => {
    const keys = Array.from({ length: 60 }, (_, index) => `gone-${index}`);
    cluster.relaysOf("e4").forEach((relay) => relay.delay(5));
    await Promise.all(
      keys.map((key, index) => submit("e4", key, { patienceMs: index + 1 })),
    );
    cluster.relaysOf("e4").forEach((relay) => relay.delay(0));
    const last = await Promise.all(keys.map(async (key) => {
      let answer: ReceivedAnswer | undefined;
      await cluster.waitFor(`an end of ${key}`, async () => {
        answer = await submit("e1", key);
        return answer?.outcome === "done";
      });
      return answer?.outcome;
    }));
    expect(new Set(last)).toEqual(new Set(["done"]));
    expect(runs(keys)).toEqual(keys.map(() => 1));
    expect(await held("running")).toEqual([]);
  });
});
