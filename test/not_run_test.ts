import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { request } from "undici";
import { ClusterFixture, falseAnswers } from "./harness/cluster_fixture.ts";
import type { ReceivedAnswer } from "./harness/services.ts";

describe("the outcome not run", () => {
  const fixture = new ClusterFixture({ entries: 4, replicas: 3, vms: 4 });
  const { cluster } = fixture;

  beforeAll(() => fixture.start());
  afterAll(() => fixture.stop());

  const submit = (
    entry: string,
    key: string,
    options: object = {},
  ): Promise<ReceivedAnswer | undefined> => {
    return fixture.send(entry, {
      service: "intake",
      path: `/reports/${key}`,
      key,
      ...options,
    });
  };

  /**
   * Fills all slots of the intake targets with direct requests, except `freeSlotsAtFirst` slots of the first target.
   * The returned function resolves once these requests have ended.
   */
  const occupySlots = async (
    runMs: number,
    freeSlotsAtFirst = 0,
  ): Promise<() => Promise<unknown>> => {
    const targets = fixture.targets().filter((one) =>
      one.announcement.service === "intake"
    );
    const slotsAt = (index: number): number =>
      (targets[index]?.announcement.slots ?? 0) -
      (index === 0 ? freeSlotsAtFirst : 0);
    const requests = targets.flatMap(({ announcement }, at) =>
      Array.from({ length: slotsAt(at) }, async (_, index) => {
        let status = 0;
        while (status !== 200) {
          const answer = await request(
            `http://${announcement.address}/held/${index}`,
            { headers: { "x-emulate": JSON.stringify({ runMs }) } },
          );
          await answer.body.dump();
          status = answer.statusCode;
        }
      })
    );
    await cluster.waitFor(
      "fully occupied targets",
      () => targets.every((one, at) => one.activeRequests === slotsAt(at)),
    );
    return () => Promise.all(requests);
  };

  it("is correct for every request that is refused under overload", async () => {
    const overload = (round: number): Promise<ReceivedAnswer | undefined>[] =>
      Array.from({ length: 400 }, (_, index) => {
        const entry = cluster.names[index % cluster.names.length] ?? "";
        const options = { emulate: { runMs: 120 }, deadlineMs: 400 };
        const name = `${round}-${index}`;
        return index % 2 === 0
          ? submit(entry, `overload-${name}`, options)
          : fixture.send(entry, {
            service: "intake",
            path: `/overload/${name}`,
            ...options,
          });
      });
    const outcomes = new Set<string | undefined>();
    let rounds = 0;
    // On a busy machine no request of a round may be done by its deadline.
    await cluster.waitFor("requests that are refused and done", async () => {
      rounds += 1;
      for (const answer of await Promise.all(overload(rounds))) {
        outcomes.add(answer?.outcome);
      }
      return outcomes.has("not run") && outcomes.has("done");
    });
    await cluster.waitFor(
      "idle targets",
      () => fixture.targets().every((one) => one.activeRequests === 0),
    );
    expect(falseAnswers(fixture.exchanges)).toEqual([]);
    const refused = fixture.exchanges.filter((one) =>
      one.answer?.outcome === "not run"
    );
    expect(refused.filter((one) => fixture.runCount(one.call) > 0)).toEqual(
      [],
    );
  });

  it("is correct for a request that every target refused, and its key can be used again", async () => {
    const slotsReleased = await occupySlots(1_500);
    const first = await submit("e1", "refused", { deadlineMs: 800 });
    expect(first?.outcome).toBe("not run");
    expect(fixture.runCount({ key: "refused", path: "" })).toBe(0);
    await slotsReleased();
    await cluster.waitFor(
      "the run of the retry",
      async () => (await submit("e2", "refused"))?.outcome === "done",
    );
    expect(fixture.runCount({ key: "refused", path: "" })).toBe(1);
  });

  it("is not returned when the entry's first attempt ran and failed and its second one was refused", async () => {
    const slotsReleased = await occupySlots(2_000, 1);
    for (let number = 0; number < 30; number += 1) {
      await fixture.send("e1", {
        service: "intake",
        path: `/second/${number}`,
        emulate: { failure: "short", runMs: 1 },
        deadlineMs: 500,
      });
    }
    await slotsReleased();
    const second = fixture.exchanges.filter((one) =>
      one.call.path.startsWith("/second/")
    );
    expect(second.filter((one) => one.runs > 0).length).toBeGreaterThan(0);
    expect(falseAnswers(second)).toEqual([]);
  });

  it("is not returned for a retry that is refused under overload when the request ran before", async () => {
    await cluster.waitFor(
      "a run without an answer",
      async () =>
        (await submit("e1", "earlier", { emulate: { failure: "short" } }))
          ?.outcome === "unknown",
    );
    const slotsReleased = await occupySlots(1_500);
    const answer = await submit("e2", "earlier", { deadlineMs: 300 });
    expect(answer?.outcome).not.toBe("not run");
    await slotsReleased();
  });

  it("is not returned for a retry with an unknown service when the request ran before", async () => {
    const options = {
      service: "gone",
      path: "/reports/earlier",
      key: "earlier",
    };
    const answer = await fixture.send("e3", options);
    expect(answer).toMatchObject({ status: 404 });
    expect(answer?.outcome).not.toBe("not run");
  });

  it("is not returned by a partitioned entry for a retry when the request ran before", async () => {
    cluster.relaysOf("e4").forEach((relay) => relay.dropBytes());
    await cluster.waitFor("the end of the lease of e4", async () => {
      const answer = await fixture.send("e4", {
        service: "intake",
        path: "/probe",
      });
      return answer?.status === 503;
    });
    const answer = await submit("e4", "earlier");
    expect(answer).toMatchObject({ status: 503, outcome: "unknown" });
    expect(
      (await fixture.send("e4", { service: "intake", path: "/fresh" }))
        ?.outcome,
    )
      .toBe("not run");
    expect(fixture.runCount({ path: "/fresh" })).toBe(0);
    cluster.relaysOf("e4").forEach((relay) => relay.heal());
    await fixture.waitUntilServing(["e4"]);
  });

  it("is never returned for a request whose answer was lost", async () => {
    const failures = ["short", "undeclared", "silent"] as const;
    const answers = await Promise.all(failures.flatMap((failure) => {
      const options = { emulate: { failure }, deadlineMs: 500 };
      return [
        submit("e1", `lost-${failure}`, options),
        fixture.send("e2", {
          service: "intake",
          path: `/lost/${failure}`,
          ...options,
        }),
      ];
    }));
    expect(answers.filter((one) => one?.outcome === "not run")).toEqual([]);
    expect(falseAnswers(fixture.exchanges)).toEqual([]);
  });

  it("is correct for requests that are retried after their entry was killed", async () => {
    const keys = Array.from({ length: 40 }, (_, index) => `killed-${index}`);
    const options = { emulate: { runMs: 60 } };
    const first = keys.map(async (key) => {
      let answer = await submit("e4", key, options);
      while (answer?.outcome === "not run") {
        answer = await submit("e4", key, options);
      }
      return answer;
    });
    await cluster.waitFor(
      "some runs through e4",
      () =>
        keys.filter((key) => fixture.runCount({ key, path: "" }) > 0).length >
          4,
    );
    await cluster.kill("e4");
    expect(await Promise.all(first)).toContain(undefined);
    const outcomes = await Promise.all(keys.map(async (key, index) => {
      const entry = ["e1", "e2", "e3"][index % 3] ?? "";
      let answer: ReceivedAnswer | undefined;
      await cluster.waitFor(`a final outcome of ${key}`, async () => {
        answer = await submit(entry, key, options);
        return answer?.outcome === "done" || answer?.outcome === "unknown";
      });
      return answer?.outcome;
    }));
    expect(outcomes).toContain("unknown");
    expect(keys.filter((key) => fixture.runCount({ key, path: "" }) > 1))
      .toEqual([]);
    expect(falseAnswers(fixture.exchanges)).toEqual([]);
  });
});
