/**
 * What jobs take in the memory of a replica and in its snapshots, beside the estimates by which they are admitted.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import process from "node:process";
import {
  type BatchJobSpec,
  JobStore,
  type JobStoreCommand,
  type RunKey,
  type StepSpec,
} from "@quetzalcove/core/scheduling";
import {
  atMost,
  type Cell,
  type RunOptions,
  type Scenario,
} from "../scenario.ts";
import { newStep } from "./new_step.ts";

const JOBS = 10_000;
const QUICK_JOBS = 500;

/** Length of the texts in the measurement of a character. */
const TEXT_LENGTH = 2_000;

/** Share by which the memory may exceed its estimate, so that the limit leaves room for what it is not about. */
const TOLERANCE = 1.1;

/** What is measured: commands that are applied before, and a command for each of a number of items. */
interface Case {
  name: string;
  before: (count: number) => JobStoreCommand[];
  command: (i: number) => JobStoreCommand;
  /** Number of units of each item, such as the characters of a text. */
  units?: number;
}

const POLICY = {
  priority: 0,
  maxAttempts: 3,
  slackFactor: 1.6,
  targetLatencyMs: 600,
  advised: false,
};

function smallStep({ taskCount = 1 } = {}): StepSpec {
  const demand = { cpuMilli: 100, memoryMb: 100, gpus: 0 };
  return newStep({ taskCount, demand, estimatedMs: 800 });
}

function specOf(changes: Partial<BatchJobSpec> = {}): BatchJobSpec {
  return { text: "", steps: [smallStep()], repeat: undefined, ...changes };
}

function jobId(i: number): string {
  return i.toString(16).padStart(16, "0");
}

function submission(i: number, spec = specOf()): JobStoreCommand {
  const job = { queue: "reports", pool: "intake", policy: POLICY, spec };
  return { kind: "submit", jobs: [{ id: jobId(i), ...job }], atMs: 0 };
}

function runOf(i: number): RunKey {
  return { task: `${jobId(0)}.0.0.${i}`, run: 1, worker: "i-0000001" };
}

const JOIN: JobStoreCommand = {
  kind: "join",
  workers: [{
    id: "i-0000001",
    pool: "intake",
    address: "10.0.0.1:8080",
    zone: "accra-a",
    capacity: { cpuMilli: 1, memoryMb: 1, gpus: 0 },
    labels: [],
    draining: false,
    hasLeft: false,
  }],
};

const CASES: readonly Case[] = [
  {
    name: "open job of one step",
    before: () => [],
    command: (i) => submission(i),
  },
  {
    name: "step of an open job",
    before: () => [],
    command: (i) =>
      submission(
        i,
        specOf({ steps: Array.from({ length: 20 }, () => smallStep()) }),
      ),
    units: 20,
  },
  {
    name: "character of a text",
    before: () => [],
    command: (i) => submission(i, specOf({ text: "x".repeat(TEXT_LENGTH) })),
    units: TEXT_LENGTH,
  },
  {
    name: "round of one step",
    before: () => [
      submission(
        0,
        specOf({ repeat: { count: JOBS, startAtMs: 0, intervalMs: 1 } }),
      ),
    ],
    command: (i) => ({ kind: "open", rounds: [{ job: jobId(0), round: i }] }),
  },
  {
    name: "task that has not run",
    before: () => [],
    command: (i) =>
      submission(i, specOf({ steps: [smallStep({ taskCount: 1_000_000 })] })),
    units: 1_000_000,
  },
  {
    name: "active run",
    before: (count) => [
      JOIN,
      submission(0, specOf({ steps: [smallStep({ taskCount: count })] })),
    ],
    command: (i) => ({ kind: "place", runs: [runOf(i)] }),
  },
  {
    name: "outcome of an ended job",
    before: (count) => Array.from({ length: count }, (_, i) => submission(i)),
    command: (i) => ({ kind: "cancel", ids: [jobId(i)], atMs: 0 }),
  },
];

export const jobMemory: Scenario = {
  name: "job-memory",
  description: "What jobs take in a replica's memory and snapshots",
  run: ({ quick }: RunOptions) => {
    const count = quick ? QUICK_JOBS : JOBS;
    const measured = CASES.map((each) => ({ each, ...measure(each, count) }));
    return {
      tables: [{
        name: "bytes of each",
        columns: ["item", "in memory", "estimate", "in a snapshot"],
        rows: measured.map((
          { each, heap, estimate, snapshot },
        ): Cell[] => [each.name, heap, estimate, snapshot]),
      }],
      // Single units of a job are noise beside the job.
      checks: measured.filter(({ each }) => each.units === undefined).map((
        { each, heap, estimate },
      ) => atMost(`${each.name}: bytes`, heap, estimate * TOLERANCE)),
    };
  },
};

/** Bytes of one unit. An ended job is measured by itself, without the open jobs that it replaces. */
function measure(
  { before, command, units = 1 }: Case,
  count: number,
): { heap: number; estimate: number; snapshot: number } {
  const isolated = usedHeap();
  const store = new JobStore();
  before(count).forEach((each) => apply(store, each));
  const endsJobs = command(0).kind === "cancel";
  const heapBefore = endsJobs ? isolated : usedHeap();
  const estimateBefore = endsJobs ? 0 : estimateOf(store);
  for (let i = 0; i < count; i++) {
    apply(store, command(i));
  }
  const divisor = count * units;
  const heap = (usedHeap() - heapBefore) / divisor;
  const estimate = (estimateOf(store) - estimateBefore) / divisor;
  return { heap, estimate, snapshot: store.encode().length / divisor };
}

/** Applies a command as it is decoded from the log. */
function apply(store: JobStore, command: JobStoreCommand): void {
  store.apply(JSON.parse(JSON.stringify(command)) as JobStoreCommand)
    .unwrap();
}

function estimateOf({ memory }: JobStore): number {
  return memory.total + memory.runs;
}

function usedHeap(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}
