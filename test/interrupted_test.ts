import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { ClusterFixture, falseAnswers } from "./harness/cluster_fixture.ts";
import type { ReceivedAnswer } from "./harness/services.ts";

/** Delay of each chunk between e4 and the others, which widens the window in which a ledger grant is in transit. */
const DELAY_MS = 250;

/** Slots of one entry: two VMs with eight slots each, shared by four entries. More requests would not run at once. */
const SLOTS_PER_ENTRY = 4;

describe("a request that is interrupted between its ledger grant and its target", () => {
  const fixture = new ClusterFixture({ entries: 4, replicas: 3, vms: 4 });
  const { cluster } = fixture;

  beforeAll(() => fixture.start());
  afterAll(() => fixture.stop());

  const submit = (
    entry: string,
    key: string,
    options: object = {},
  ): Promise<ReceivedAnswer | undefined> => {
    const path = `/reports/${key}`;
    return fixture.send(entry, { service: "intake", path, key, ...options });
  };

  const runCounts = (keys: readonly string[]): number[] =>
    keys.map((key) => fixture.runCount({ key, path: "" }));

  /** Keys of the ledger attempts in a phase. */
  const attemptKeys = async (phase: string): Promise<string[]> => {
    const answer = await callAdmin<{ attempts?: { key: string }[] }>(
      cluster.admin("e1"),
      `/v1/requests?phase=${phase}`,
    );
    return (answer?.value.attempts ?? []).map(({ key }) =>
      key.replace("anonymous/", "")
    );
  };

  /**
   * Sends requests through e4 until all attempts of one batch are seen running in the ledger at once. All requests of a
   * batch may end between two polls; then the next batch is sent.
   */
  const runningRequests = async (): Promise<
    { keys: string[]; firstAnswers: Promise<ReceivedAnswer | undefined>[] }
  > => {
    for (let batch = 0;; batch += 1) {
      const keys = Array.from(
        { length: SLOTS_PER_ENTRY - 1 },
        (_, index) => `frozen-${batch}-${index}`,
      );
      const firstAnswers = keys.map((key) => submit("e4", key));
      let allEnded = false;
      void Promise.all(firstAnswers).then(() => allEnded = true);
      let allRunning = false;
      await cluster.waitFor("running attempts in the ledger", async () => {
        const running = await attemptKeys("running");
        allRunning = keys.every((key) => running.includes(key));
        return allRunning || allEnded;
      });
      if (allRunning) {
        return { keys, firstAnswers };
      }
    }
  };

  it("is not sent by an entry that was frozen past its lease", async () => {
    cluster.relaysOf("e4").forEach((relay) => relay.delay(DELAY_MS));
    const { keys, firstAnswers } = await runningRequests();
    cluster.signal("e4", "SIGSTOP");
    await cluster.waitFor("fencing of the attempts", async () => {
      const unknown = await attemptKeys("unknown");
      return keys.every((key, index) =>
        unknown.includes(key) || runCounts(keys)[index] === 1
      );
    });
    const before = runCounts(keys);
    expect(before).toContain(0);
    cluster.signal("e4", "SIGCONT");
    cluster.relaysOf("e4").forEach((relay) => relay.delay(0));
    const answers = await Promise.all(firstAnswers);
    expect(runCounts(keys)).toEqual(before);
    expect(answers.map((one) => one?.outcome)).toContain("unknown");
    const key = keys[before.indexOf(0)] ?? "";
    const settlement = { key: `anonymous/${key}`, outcome: "not run" };
    for (const name of ["e1", "e2"]) {
      const settled = await callAdmin(
        cluster.admin(name),
        "/v1/requests/settle",
        settlement,
      );
      expect(settled?.status).toBe(200);
    }
    await cluster.waitFor(
      "the run of the settled request",
      async () => (await submit("e2", key))?.outcome === "done",
    );
    expect(runCounts([key])).toEqual([1]);
    await fixture.waitUntilServing(["e4"]);
    expect(falseAnswers(fixture.exchanges)).toEqual([]);
  });

  it("leaves no attempt open when its caller disconnects at any moment", async () => {
    const keys = Array.from({ length: 60 }, (_, index) => `gone-${index}`);
    cluster.relaysOf("e4").forEach((relay) => relay.delay(5));
    await Promise.all(
      keys.map((key, index) => submit("e4", key, { timeoutMs: index + 1 })),
    );
    cluster.relaysOf("e4").forEach((relay) => relay.delay(0));
    const outcomes = await Promise.all(keys.map(async (key) => {
      let answer: ReceivedAnswer | undefined;
      await cluster.waitFor(`an answer for ${key}`, async () => {
        answer = await submit("e1", key);
        return answer?.outcome === "done";
      });
      return answer?.outcome;
    }));
    expect(new Set(outcomes)).toEqual(new Set(["done"]));
    expect(runCounts(keys)).toEqual(keys.map(() => 1));
    expect(await attemptKeys("running")).toEqual([]);
  });
});
