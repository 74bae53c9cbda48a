import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Inventory, Rules, SubmittedJob } from "@quetzalcove/core";
import {
  callAdmin,
  Child,
  logFilePath,
  type TaskEvent,
} from "@quetzalcove/emulator";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Cluster, networkPrefix } from "./harness/cluster.ts";

const AGENT_PROGRAM = fileURLToPath(
  new URL("../packages/emulator/dist/task_agent_main.js", import.meta.url),
);
const VMS = 4;
const AGENT_PORT = 9200;
/** Requirement: an urgent job starts within this time although the pool is full. */
const MAX_URGENT_START_MS = 3_900;

function hostOf(index: number): string {
  return `${networkPrefix("targets")}.250.${index + 1}`;
}

const inventory = Inventory.parse({
  zones: [{ name: "zone-a", region: "region" }],
  racks: [{ name: "rack-1", zone: "zone-a" }, {
    name: "rack-2",
    zone: "zone-a",
  }],
  pools: [{ name: "batch" }],
  vms: Array.from({ length: VMS }, (_, index) => ({
    name: `vm-${index + 1}`,
    rack: `rack-${index % 2 + 1}`,
    pool: "batch",
    cores: 4,
    memoryGb: 8,
    agent: `${hostOf(index)}:${AGENT_PORT}`,
  })),
});
const rules = Rules.parse({
  teams: [{ name: "curves", cores: 32, memoryGb: 64 }],
});

function job(id: string, runMs: number, fields: object = {}): SubmittedJob {
  return SubmittedJob.parse({
    id,
    team: "curves",
    kind: "reduce",
    pool: "batch",
    cores: 1,
    memoryGb: 2,
    runtimeMs: runMs,
    task: JSON.stringify({ runMs }),
    ...fields,
  });
}

interface JobList {
  jobs: { id: string; state: string; reason?: string }[];
}

describe("jobs on daemon and agent processes", () => {
  const cluster = new Cluster({ entries: 4, replicas: 3 });
  const agents: Child[] = [];
  const record = join(cluster.folder, "tasks.jsonl");

  function startAgent(index: number): void {
    const command = [
      AGENT_PROGRAM,
      `vm-${index + 1}`,
      hostOf(index),
      `${AGENT_PORT}`,
      record,
    ];
    const log = logFilePath(cluster.folder, `agent-${index + 1}`);
    agents[index] = new Child(`agent-${index + 1}`, command, log);
  }

  function events(): TaskEvent[] {
    const lines = readFileSync(record, "utf8").split("\n").filter(Boolean);
    return lines.map((line) => JSON.parse(line) as TaskEvent);
  }

  /** Kills an agent and records the ends of its tasks, which run in its process and so cannot record them. */
  async function killAgent(index: number): Promise<void> {
    agents[index]?.signal("SIGKILL");
    await agents[index]?.ended;
    const vm = `vm-${index + 1}`;
    for (const { job, run } of activeRunsOn(events(), vm)) {
      const event: TaskEvent = { event: "ended", vm, job, run, at: Date.now() };
      appendFileSync(record, `${JSON.stringify(event)}\n`);
    }
  }

  async function submit(jobs: SubmittedJob[]): Promise<JobList["jobs"]> {
    const answer = await callAdmin<JobList>(cluster.admin("e4"), "/v1/jobs", {
      jobs,
    });
    return answer?.value.jobs ?? [];
  }

  async function stateOf(id: string): Promise<string | undefined> {
    const path = `/v1/jobs/${id}`;
    const answer = await callAdmin<{ state: string }>(
      cluster.admin("e4"),
      path,
    );
    return answer?.value.state;
  }

  async function waitForStates(ids: string[], state: string): Promise<void> {
    await cluster.waitFor(`${state}: ${ids.join(", ")}`, async () => {
      const states = await Promise.all(ids.map(stateOf));
      return states.every((each) => each === state);
    });
  }

  beforeAll(async () => {
    writeFileSync(record, "");
    await cluster.start();
    await cluster.configure("e4", {
      change: "first",
      base: 0,
      inventory,
      rules,
    });
    inventory.vms.forEach((_, index) => startAgent(index));
  });

  afterAll(async () => {
    agents.forEach((agent) => agent.signal("SIGKILL"));
    await cluster.stop();
  });

  it("run to completion, and a job that fits no VM is refused with the reason", async () => {
    const replies = await submit([
      job("a1", 300),
      job("a2", 300),
      job("a3", 300, { memoryGb: 100 }),
    ]);
    expect(replies).toMatchInlineSnapshot(`
      [
        {
          "id": "a1",
          "state": "waiting",
        },
        {
          "id": "a2",
          "state": "waiting",
        },
        {
          "id": "a3",
          "reason": "No VM of pool "batch" can hold 1.0 cores, 100.0 GB, 0 accelerators; the largest has 4.0 cores, 7.6 GB, 0 accelerators",
          "state": "refused",
        },
      ]
    `);
    await waitForStates(["a1", "a2"], "done");
    expect(await submit([job("a1", 300)])).toEqual([{
      id: "a1",
      state: "done",
    }]);
  });

  it("start within 3.9 s when they are urgent and the pool is full", async () => {
    const ids = Array.from({ length: 16 }, (_, n) => `o${n}`);
    await submit(
      ids.map((id) =>
        job(id, 600_000, { priority: "overnight", kind: `k-${id}` })
      ),
    );
    await cluster.waitFor(
      "a full pool",
      () =>
        events().filter((e) => e.event === "started" && ids.includes(e.job))
          .length >= 8,
    );
    const before = Date.now();
    await submit([job("u1", 200, { priority: "urgent", memoryGb: 7 })]);
    await waitForStates(["u1"], "done");
    const started = events().find((e) =>
      e.job === "u1" && e.event === "started"
    );
    expect((started?.at ?? Infinity) - before).toBeLessThan(
      MAX_URGENT_START_MS,
    );
    const cancelled = await callAdmin<JobList>(
      cluster.admin("e4"),
      "/v1/jobs/cancel",
      { matching: { team: "curves" } },
    );
    expect(cancelled?.value.jobs.length).toBe(16);
    await waitForStates(ids, "cancelled");
  });

  it("all complete without overlapping runs when the leader and a VM are lost", async () => {
    const ids = Array.from({ length: 8 }, (_, n) => `l${n}`);
    await submit(ids.map((id) => job(id, 4_000)));
    await cluster.waitFor(
      "the start of some jobs",
      () =>
        events().filter((e) => e.event === "started" && ids.includes(e.job))
          .length >= 3,
    );
    const leader = await cluster.leader(["e4"]);
    await cluster.kill(leader);
    await killAgent(0);
    startAgent(0);
    cluster.startDaemon(leader);
    await waitForStates(ids, "done");
    expect(overlappingJobs(events())).toEqual([]);
  });

  it("do not have overlapping runs when a frozen leader resumes after another was elected", async () => {
    const ids = Array.from({ length: 6 }, (_, n) => `f${n}`);
    const frozen = await cluster.leader(["e4"]);
    await submit(ids.map((id) => job(id, 5_000)));
    await cluster.waitFor(
      "the start of some jobs",
      () =>
        events().filter((e) => e.event === "started" && ids.includes(e.job))
          .length >= 2,
    );
    cluster.signal(frozen, "SIGSTOP");
    await cluster.waitFor("another leader", async () => {
      const leader = (await cluster.status("e4"))?.leader;
      return leader !== undefined && leader !== null && leader !== frozen;
    });
    await submit([job("g1", 200)]);
    cluster.signal(frozen, "SIGCONT");
    await waitForStates([...ids, "g1"], "done");
    expect(overlappingJobs(events())).toEqual([]);
    const starts = events().filter((e) => e.event === "started");
    const runs = starts.map(({ run }) => run);
    expect(new Set(runs).size).toBe(runs.length);
  });
});

/** Start events on a VM of runs that have not ended. */
function activeRunsOn(events: TaskEvent[], vm: string): TaskEvent[] {
  const ended = new Set(
    events.filter(({ event }) => event === "ended").map(({ run }) => run),
  );
  return events.filter((each) =>
    each.event === "started" && each.vm === vm && !ended.has(each.run)
  );
}

/** Jobs of which a run started while another had not ended. */
function overlappingJobs(events: TaskEvent[]): string[] {
  const activeJobs = new Set<string>();
  const overlapping: string[] = [];
  for (const { event, job } of events) {
    if (event === "ended") {
      activeJobs.delete(job);
    } else if (activeJobs.has(job)) {
      overlapping.push(job);
    } else {
      activeJobs.add(job);
    }
  }
  return overlapping;
}
