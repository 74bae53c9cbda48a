import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type {
  JobStore,
  JobStoreCommand,
  JobStoreOutput,
  StepSpec,
} from "@quetzalcove/core/scheduling";
import {
  end,
  listing,
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import {
  coreCap,
  customer,
  newSharedStore,
  planCustomers,
  submitFor,
} from "../../core/test/scheduling_customers_fixture.ts";
import type { LogFields } from "../src/observe/log.ts";
import type {
  ListedVm,
  WorkerClient,
} from "../src/scheduler/platform_clients.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import { MaintenanceController } from "../src/scheduler/maintenance_controller.ts";
import {
  consensusOf,
  ignore,
  memoryOf,
  notExpected,
  QUIET_LOG,
  termParts,
} from "./scheduler_fixture.ts";

/** Client of workers that list no runs. */
function idleWorkers(): WorkerClient {
  return {
    start: notExpected,
    stop: notExpected,
    pace: notExpected,
    renew: () =>
      new Promise((resolve) =>
        setTimeout(() =>
          resolve({
            kind: "listing",
            listing: listing(),
            clockMs: Date.now(),
          }), 50)
      ),
    disconnect: ignore,
  };
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Ends of jobs that a new leadership term logs. */
async function loggedEnds(jobStore: JobStore): Promise<LogFields[]> {
  const ends: LogFields[] = [];
  const info = (event: string, fields: LogFields = {}): void => {
    if (event === "job.ended") {
      ends.push(fields);
    }
  };
  const term = new LeadershipTerm(termParts({
    consensus: consensusOf(jobStore),
    client: idleWorkers(),
    log: { ...QUIET_LOG, info },
  }));
  await term.start();
  await vi.advanceTimersByTimeAsync(500);
  await term.stop();
  return ends;
}

describe("the end of a job that failed", () => {
  // Guards against records that cannot tell why a job failed, in particular when the leader is stopped right after.
  it("is logged with its cause, also by the leaders that follow", async () => {
    const jobStore = newJobStore([worker("w1")]);
    submit(jobStore, "j", spec(step()));
    for (const number of [1, 2]) {
      place(jobStore, run("j.0.0.0", number, "w1"));
      end(jobStore, run("j.0.0.0", number, "w1"), "failed");
    }
    submit(jobStore, "k", spec(step()));
    jobStore.apply({ kind: "cancel", ids: ["k"], atMs: 60_000 });
    expect(await loggedEnds(jobStore)).toMatchInlineSnapshot(`
      [
        {
          "attempts": 2,
          "cause": "failures",
          "count": 2,
          "job": "j",
          "outcome": "failed",
          "queue": "reports",
          "runsLeft": 0,
          "task": "j.0.0.0",
          "tookMs": 1000,
        },
        {
          "attempts": undefined,
          "cause": undefined,
          "count": undefined,
          "job": "k",
          "outcome": "cancelled",
          "queue": "reports",
          "runsLeft": 0,
          "task": undefined,
          "tookMs": 60000,
        },
      ]
    `);
  });
});

// Guards against repeated jobs whose overlapping rounds end all replicas for lack of memory.
it("a round of a repeated job waits while the replicas cannot hold its tasks", async () => {
  const jobStore = newJobStore([]);
  submit(jobStore, "j", {
    ...spec(step({ taskCount: 60 })),
    repeat: { count: 100, startAtMs: 0, intervalMs: 0 },
  });
  const consensus = consensusOf(jobStore);
  const term = new LeadershipTerm(termParts({
    consensus,
    client: idleWorkers(),
    memory: memoryOf(consensus, 20_000),
  }));
  await term.start();
  await vi.advanceTimersByTimeAsync(2_000);
  const opened = jobStore.jobs.get("j")?.opened;
  expect(opened).toBeGreaterThan(0);
  expect(jobStore.memory.total).toBeLessThan(20_000);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(jobStore.jobs.get("j")?.opened).toBe(opened);
  await term.stop();
});

describe("a busy leadership term", () => {
  // Guards against a leader whose passes take the processor from the orders that they place.
  it("shares a pass between the changes of some round trips", async () => {
    let passes = 0;
    const term = new LeadershipTerm(termParts({
      consensus: consensusOf(newJobStore([])),
      measure: (activity, run) => {
        passes += activity === "orders" ? 1 : 0;
        return run();
      },
    }));
    await term.start();
    for (let i = 0; i < 100; i++) {
      term.wake();
      await vi.advanceTimersByTimeAsync(1);
    }
    expect(passes).toBeGreaterThan(3);
    // One at once, one after each pause of 20 ms, and one of the regular interval of 100 ms.
    expect(passes).toBeLessThanOrEqual(7);
    await term.stop();
  });

  // Guards against a leader whose processor goes to the moves of VMs, which take more than a second each, in every pass,
  // and against waves that end late because each long-running task of a step waits for the next decision on VMs.
  it("gives a twentieth of its time to decisions on VMs, and goes on with maintenance in each pass", async () => {
    const jobStore = newJobStore([]);
    let decisions = 0;
    vi.spyOn(MaintenanceController.prototype, "reconcile")
      .mockImplementation(() => {
        decisions += 1;
        vi.setSystemTime(Date.now() + 5);
      });
    const proceed = vi.spyOn(MaintenanceController.prototype, "proceed");
    const term = new LeadershipTerm(termParts({
      consensus: consensusOf(jobStore),
      vmClient: {
        list: () => Promise.resolve({ vms: [], unnamedRecords: 0 }),
        move: notExpected,
        maintain: notExpected,
      },
    }));
    await term.start();
    await vi.advanceTimersByTimeAsync(200);
    const startedAt = Date.now();
    decisions = 0;
    for (let i = 0; i < 500; i++) {
      term.wake();
      await vi.advanceTimersByTimeAsync(2);
    }
    expect(5 * decisions / (Date.now() - startedAt)).toBeLessThanOrEqual(0.05);
    expect(decisions).toBeGreaterThan(5);
    expect(proceed.mock.calls.length).toBeGreaterThan(2 * decisions);
    vi.restoreAllMocks();
    await term.stop();
  });
});

describe("a placement pass", () => {
  // Guards against a leader that prepares all workers in each pass, although steps wait in one or two pools.
  it("looks only at the workers of pools in which steps wait", async () => {
    const jobStore = newJobStore([
      worker("w1"),
      worker("w2", { pool: "charts" }),
    ]);
    submit(jobStore, "j", spec(step({ taskCount: 100 })));
    const looked = new Set<string>();
    let isPlacing = false;
    const load = jobStore.load.bind(jobStore);
    vi.spyOn(jobStore, "load").mockImplementation((id) => {
      if (isPlacing) {
        looked.add(id);
      }
      return load(id);
    });
    const term = new LeadershipTerm(termParts({
      consensus: consensusOf(jobStore),
      client: { ...idleWorkers(), start: () => new Promise(ignore) },
      measure: (activity, run) => {
        isPlacing = activity === "placement";
        const result = run();
        isPlacing = false;
        return result;
      },
    }));
    await term.start();
    await vi.advanceTimersByTimeAsync(1_000);
    expect([...looked]).toEqual(["w1"]);
    await term.stop();
  });
});

describe("a worker that has ended", () => {
  it("is called once, and not again while its removal is being committed", async () => {
    const jobStore = newJobStore([worker("w1")]);
    let renewals = 0;
    let commit = ignore;
    const client: WorkerClient = {
      start: notExpected,
      stop: notExpected,
      pace: notExpected,
      renew: () => {
        renewals += 1;
        return Promise.resolve({ kind: "other_worker" });
      },
      disconnect: ignore,
    };
    const leadershipTerm = new LeadershipTerm(termParts({
      consensus: consensusOf(jobStore, {
        propose: (command: JobStoreCommand) =>
          new Promise((resolve) => {
            commit = () =>
              resolve(
                jobStore.apply(command).map((output): JobStoreOutput => output),
              );
          }),
      }),
      client,
    }));
    await leadershipTerm.start();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(renewals).toBe(1);
    commit();
    await vi.advanceTimersByTimeAsync(1_000);
    expect([renewals, jobStore.workers.size]).toEqual([1, 0]);
    await leadershipTerm.stop();
  });
});

describe("a placement that the job store refuses", () => {
  // Guards against orders for runs that a cap refused because the plan changed while the placement was committed.
  it("starts only the runs that were placed, and logs the others", async () => {
    const jobStore = newSharedStore(
      [worker("w1")],
      customer("a", { cap: coreCap(4) }),
    );
    submitFor(jobStore, "a", "j", { taskCount: 4 });
    const started = new Set<string>();
    const refused: unknown[] = [];
    const term = new LeadershipTerm(termParts({
      consensus: consensusOf(jobStore, {
        propose: (command: JobStoreCommand) => {
          if (command.kind === "place" && jobStore.plan.version === 2) {
            planCustomers(jobStore, customer("a", { cap: coreCap(1) }));
          }
          return Promise.resolve(
            jobStore.apply(command).map((output): JobStoreOutput => output),
          );
        },
      }),
      client: {
        ...idleWorkers(),
        start: (_, { task }) => {
          started.add(task);
          return new Promise(ignore);
        },
      },
      log: {
        ...QUIET_LOG,
        info: (event, fields) => {
          if (event === "runs.refused") {
            refused.push(fields);
          }
        },
      },
    }));
    await term.start();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(refused).toEqual([{ runs: 3, first: "j.0.0.1" }]);
    expect([...started]).toEqual(["j.0.0.0"]);
    await term.stop();
  });
});

// Guards against jobs that no VM can ever run, and that take room from others for ever.
describe("a submission with tasks that no VM of the fleet can run", () => {
  const SHAPE = {
    capacity: { cpuMilli: 8_000, memoryMb: 4_000, gpus: 0 },
    labels: ["a", "r1"],
  };
  const VM: ListedVm = {
    vm: "vm-1",
    pool: "intake",
    state: "down",
    cores: 8,
    shape: SHAPE,
    worker: undefined,
  };

  /** Answers to submissions whose tasks need so many millicores, or a label, of a term with a list of VMs. */
  async function answersWith(vms: ListedVm[]): Promise<unknown[]> {
    const term = new LeadershipTerm(termParts({
      consensus: consensusOf(newJobStore([worker("w1")])),
      client: idleWorkers(),
      vmClient: {
        list: () => Promise.resolve({ vms, unnamedRecords: 0 }),
        move: notExpected,
        maintain: notExpected,
      },
    }));
    const accept = (changes: Partial<StepSpec>): unknown => {
      const accepted = term.accept({
        id: "j",
        queue: "reports",
        pool: "intake",
        spec: spec(step(), step(changes)),
      });
      return accepted.err ? accepted.val : "accepted";
    };
    const large = {
      demand: { cpuMilli: 8_001, memoryMb: 100, gpus: 0 },
      taskCount: 249_998,
    };
    const beforeFirstList = accept(large);
    await term.start();
    await vi.advanceTimersByTimeAsync(1_000);
    const answers = [
      beforeFirstList,
      accept({ demand: SHAPE.capacity }),
      accept(large),
      accept({ requiredLabel: "b" }),
      accept({ ...large, fills: true }),
    ];
    await term.stop();
    return answers;
  }

  it("is refused for good, with what it asks for", async () => {
    expect(await answersWith([VM])).toMatchInlineSnapshot(`
      [
        "accepted",
        "accepted",
        {
          "kind": "unplaceable",
          "message": "No VM of the fleet has 8001 millicores, 100 MB and 0 GPUs for one task",
          "outcome": "not run",
          "path": "steps[1]",
          "remedy": "Submit smaller tasks, or again when the fleet has such a VM",
        },
        {
          "kind": "unplaceable",
          "message": "No VM of the fleet has 1000 millicores, 100 MB and 0 GPUs for one task and the label "b"",
          "outcome": "not run",
          "path": "steps[1]",
          "remedy": "Submit smaller tasks, or again when the fleet has such a VM",
        },
        "accepted",
      ]
    `);
  });

  it("is accepted while a VM is listed of which nothing is known", async () => {
    const unknown: ListedVm = { ...VM, vm: "vm-2", shape: undefined };
    expect(await answersWith([VM, unknown])).toEqual(
      Array.from({ length: 5 }, () => "accepted"),
    );
  });
});
