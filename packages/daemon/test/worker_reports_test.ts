import { beforeEach, describe, expect, it } from "vitest";
import { Ok } from "@quetzalcove/core";
import type { RelayCandidate, Worker } from "@quetzalcove/core/scheduling";
import { newJobStore, worker } from "../../core/test/scheduling_fixture.ts";
import type { Leadership } from "../src/consensus/consensus.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { WorkerReports } from "../src/scheduler/worker_reports.ts";

const FOLLOWS: Leadership = { term: 7, leader: "10.0.0.1", isLeader: false };
const LEADS: Leadership = { term: 7, leader: "10.0.0.2", isLeader: true };
const STORED = worker("w1", { bornAtMs: 1_000 });

describe("a report of a worker", () => {
  let leadership: Leadership;
  let isVoter: boolean;
  let candidates: RelayCandidate[];
  let passedOn: Worker[];
  let reports: WorkerReports;

  beforeEach(() => {
    leadership = FOLLOWS;
    isVoter = true;
    candidates = [];
    passedOn = [];
    const jobStore = newJobStore([STORED]);
    reports = new WorkerReports({
      host: "10.0.0.2",
      consensus: { state: jobStore, leadership: () => leadership },
      isVoter: () => isVoter,
      candidates: () => candidates,
      report: (reported) => {
        passedOn.push(reported);
        return Promise.resolve(Ok({}));
      },
      metrics: new Metrics(),
    });
  });

  // Guards against a leader at its limit that answers the same reports of all workers again and again.
  it("is answered by a replica that follows, if it repeats what is stored", async () => {
    const received = await reports.receive({ ...STORED, reportNumber: 9 });
    expect([received.ok, passedOn]).toEqual([true, []]);
  });

  const changes: [string, Worker][] = [
    ["of an unknown worker", worker("w2")],
    ["of a worker that drains", { ...STORED, draining: true }],
    ["of a changed capacity", {
      ...STORED,
      capacity: { ...STORED.capacity, cpuMilli: 1 },
    }],
    ["of a later life", { ...STORED, bornAtMs: 2_000 }],
    ["that names no pool of the plan", { ...STORED, pool: "none" }],
  ];
  it.each(changes)(
    "is passed on to the leader if it is %s",
    async (_, news) => {
      await reports.receive(news);
      expect(passedOn).toEqual([news]);
    },
  );

  it.each<[string, () => void]>([
    ["leads", () => leadership = LEADS],
    ["knows no leader", () => leadership = { ...FOLLOWS, leader: undefined }],
    ["does not vote", () => isVoter = false],
  ])("is passed on by a replica that %s", async (_, change) => {
    change();
    await reports.receive(STORED);
    expect(passedOn).toEqual([STORED]);
  });

  it("is followed by others at the replica that follows", () => {
    expect(reports.hostFor(STORED)).toBe("10.0.0.2");
  });

  it("is followed by others at a replica that follows, if this one leads", () => {
    leadership = LEADS;
    expect(reports.hostFor(STORED)).toBe("10.0.0.2");
    candidates = ["10.0.0.3", "10.0.0.4"].map((host) => ({
      host,
      zone: host === "10.0.0.4" ? STORED.zone : "other",
      caughtUp: true,
      isConnected: true,
      silentMs: 0,
    }));
    expect(reports.hostFor(STORED)).toBe("10.0.0.4");
  });
});
