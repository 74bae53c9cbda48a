import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type CandidateWorker,
  type Customer,
  CustomerLimits,
  JobStore,
  type JobStoreCommand,
  objectiveDeadline,
  placeStep,
  type Resources,
  type RunKey,
  type StepSpec,
  UnplaceableDemands,
  type WaitingStep,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { end } from "./scheduling_fixture.ts";
import {
  activeRuns,
  candidatesOf,
  commandOf,
  customer,
  newSharedStore,
  passOver,
  planCustomers,
  submitFor,
  workers,
} from "./scheduling_customers_fixture.ts";

const NAMES = ["a", "b", "c"];

const RUNS = { numRuns: 500 };

/** One change of a store: jobs that arrive, runs that end, workers that are lost, caps that change, time that passes. */
type Change =
  | { kind: "submit"; owner: string | undefined; step: Partial<StepSpec> }
  | { kind: "end"; every: number; how: "done" | "failed" | "stopped" }
  | { kind: "cancel"; job: number }
  | { kind: "lose"; worker: number }
  | { kind: "caps"; customers: Customer[] }
  | { kind: "pass" };

const step: fc.Arbitrary<Partial<StepSpec>> = fc.record({
  taskCount: fc.integer({ min: 1, max: 6 }),
  demand: fc.record({
    cpuMilli: fc.constantFrom(0, 500, 1_000, 2_000, 4_000),
    memoryMb: fc.constantFrom(0, 100, 400),
    gpus: fc.constantFrom(0, 0, 0, 1),
  }),
  estimatedMs: fc.constantFrom(100, 1_000, 5_000),
  gang: fc.boolean(),
  sameRack: fc.boolean(),
  lasting: fc.boolean(),
  fills: fc.boolean(),
  maxPerWorker: fc.constantFrom(0, 0, 1),
  requiredLabel: fc.constantFrom("", "", "r1", "none"),
});

const cap: fc.Arbitrary<Resources> = fc.record({
  cpuMilli: fc.constantFrom(0, 1_000, 3_000, 6_000),
  memoryMb: fc.constantFrom(0, 0, 500),
  gpus: fc.constantFrom(0, 0, 1),
});

const customers: fc.Arbitrary<Customer[]> = fc.subarray(NAMES).chain((names) =>
  fc.tuple(
    ...names.map((name) =>
      fc.record({ cap, weight: fc.constantFrom(0, 1, 1, 5) })
        .map((changes) => customer(name, changes))
    ),
  )
);

const change: fc.Arbitrary<Change> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("submit" as const),
      owner: fc.constantFrom(undefined, ...NAMES),
      step,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("end" as const),
      every: fc.integer({ min: 1, max: 3 }),
      how: fc.constantFrom("done", "failed", "stopped"),
    }) as fc.Arbitrary<Change>,
  },
  fc.record({
    kind: fc.constant("cancel" as const),
    job: fc.integer({ min: 0, max: 5 }),
  }),
  fc.record({
    kind: fc.constant("lose" as const),
    worker: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({ kind: fc.constant("caps" as const), customers }),
  { weight: 4, arbitrary: fc.constant<Change>({ kind: "pass" }) },
);

const changes = fc.array(change, { minLength: 1, maxLength: 30 });

/** Applies all changes but passes, which `onPass` makes. `index` makes job ids unique. */
function applyChange(
  store: JobStore,
  each: Change,
  index: number,
  onPass: () => void,
): void {
  switch (each.kind) {
    case "submit":
      return submitFor(store, each.owner, `j${index}`, each.step, 100 * index);
    case "end":
      return activeRuns(store).filter((_, i) => i % each.every === 0)
        .forEach((run) => end(store, run, each.how));
    case "cancel":
      store.apply({ kind: "cancel", ids: [`j${each.job}`], atMs: 0 });
      return;
    case "lose":
      store.apply({
        kind: "lose",
        workers: [`w${each.worker}`],
        haveEnded: false,
        atMs: 0,
      });
      store.apply({ kind: "join", workers: WORKERS });
      return;
    case "caps":
      return planCustomers(store, ...each.customers);
    case "pass":
      return onPass();
  }
}

const WORKERS = workers(3).map((each) => ({
  ...each,
  capacity: { cpuMilli: 4_000, memoryMb: 1_000, gpus: 2 },
}));

/** What the active runs of each customer demand, counted from the runs themselves. */
function countUsage(
  store: JobStore,
): Map<string, Resources & { runs: number }> {
  const usage = new Map<string, Resources & { runs: number }>();
  for (const { task } of activeRuns(store)) {
    const [id = "", , index] = task.split(".");
    const job = store.jobs.get(id);
    const demand = job?.spec?.steps[Number(index)]?.demand;
    if (job?.customer !== undefined && demand !== undefined) {
      const sum = usage.get(job.customer) ??
        { cpuMilli: 0, memoryMb: 0, gpus: 0, runs: 0 };
      sum.cpuMilli += demand.cpuMilli;
      sum.memoryMb += demand.memoryMb;
      sum.gpus += demand.gpus;
      sum.runs += 1;
      usage.set(job.customer, sum);
    }
  }
  return usage;
}

/** Checks that a placement brought no customer over its cap, unless it started one task with nothing running. */
function applyPlacement(store: JobStore, command: JobStoreCommand): void {
  const before = countUsage(store);
  store.apply(command);
  const after = countUsage(store);
  for (const { name, cap: limit } of store.plan.customers) {
    const used = after.get(name);
    const started = (used?.runs ?? 0) - (before.get(name)?.runs ?? 0);
    if (used === undefined || started === 0) {
      continue;
    }
    const isWithin = RESOURCES.every((each) =>
      limit[each] === 0 || used[each] <= limit[each]
    );
    const { cpuMilli = 0, memoryMb = 0, gpus = 0 } = before.get(name) ?? {};
    const startedAlone = cpuMilli + memoryMb + gpus === 0 &&
      countDemandingRuns(store, name) === 1;
    expect(isWithin || startedAlone).toBe(true);
  }
}

const RESOURCES = ["cpuMilli", "memoryMb", "gpus"] as const;

/** Number of a customer's runs that demand anything. */
function countDemandingRuns(store: JobStore, name: string): number {
  return activeRuns(store).filter(({ task }) => {
    const [id = "", , index] = task.split(".");
    const job = store.jobs.get(id);
    const demand = job?.spec?.steps[Number(index)]?.demand;
    return job?.customer === name && demand !== undefined &&
      RESOURCES.some((each) => demand[each] > 0);
  }).length;
}

/** The order of steps as it was before customers existed. */
function sortWithoutCustomers(
  waiting: Iterable<WaitingStep>,
  wallNow: number,
): WaitingStep[] {
  const estimate = new WorkEstimate();
  const startBy = ({ job, round, step: index }: WaitingStep): number =>
    objectiveDeadline(job, round, estimate) -
    estimate.criticalPathMs(job, index);
  return [...waiting].sort((a, b) =>
    Number(!a.spec.lasting) - Number(!b.spec.lasting) ||
    Number(startBy(a) < wallNow) - Number(startBy(b) < wallNow) ||
    a.job.terms.priority - b.job.terms.priority ||
    startBy(a) - startBy(b)
  );
}

/** The placement pass as it was before customers existed. */
function passWithoutCustomers(
  store: JobStore,
  candidates: ReadonlyMap<string, CandidateWorker[]>,
  wallNow: number,
): { step: string; runs: RunKey[] }[] {
  const unplaceable = new UnplaceableDemands();
  const placements: { step: string; runs: RunKey[] }[] = [];
  for (const each of sortWithoutCustomers(store.waiting.values(), wallNow)) {
    if (unplaceable.covers(each)) {
      continue;
    }
    const runs = placeStep(each, candidates.get(each.job.pool) ?? [], wallNow);
    if (runs.length < each.indices.size) {
      unplaceable.record(each);
    }
    if (runs.length > 0) {
      placements.push({ step: each.name, runs });
    }
  }
  return placements;
}

describe("any load with customers", () => {
  // Guards against starts over the cap, by one leader or by two whose placements are committed in any order.
  it("never brings a customer over its cap", () => {
    fc.assert(
      fc.property(customers, changes, (initial, all) => {
        const store = newSharedStore(WORKERS, ...initial);
        // Placements of the other leader, committed only after the next ones.
        let delayed: JobStoreCommand | undefined;
        all.forEach((each, index) => {
          applyChange(store, each, index, () => {
            const command = commandOf(passOver(store, 100 * index));
            if (delayed === undefined) {
              delayed = command;
            } else {
              applyPlacement(store, command);
              applyPlacement(store, delayed);
              delayed = undefined;
            }
          });
        });
        expect(JobStore.decode(store.encode()).customerUsage)
          .toEqual(store.customerUsage);
      }),
      RUNS,
    );
  });

  // Guards against a refusal that replicas decide differently, or that the pass does not foresee.
  it("leaves replicas that apply the same log equal, and refuses nothing of a pass on the newest state", () => {
    fc.assert(
      fc.property(customers, changes, (initial, all) => {
        const store = newSharedStore(WORKERS, ...initial);
        all.forEach((each, index) => {
          applyChange(store, each, index, () => {
            const replica = JobStore.decode(store.encode());
            const command = commandOf(passOver(store, 100 * index));
            store.apply(command);
            replica.apply(command);
            expect([...replica.snapshot()].map((line) => JSON.parse(line)))
              .toEqual([...store.snapshot()].map((line) => JSON.parse(line)));
            const runs = command.kind === "place" ? command.runs : [];
            expect(runs.filter((run) => store.findRun(run) === undefined))
              .toEqual([]);
          });
        });
      }),
      RUNS,
    );
  });

  // Guards against capacity that stays free while a step waits that its cap would allow.
  it("leaves no task waiting that a worker could take and its cap allows, and says so of the others", () => {
    fc.assert(
      fc.property(customers, changes, (initial, all) => {
        const store = newSharedStore(WORKERS, ...initial);
        all.forEach((each, index) => {
          applyChange(store, each, index, () => {
            const candidates = candidatesOf(store);
            const pass = passOver(store, 100 * index, candidates);
            store.apply(commandOf(pass));
            const limits = new CustomerLimits(
              store.plan.customers,
              store.customerUsage,
            );
            for (const { step: waiting, reason } of pass.waits) {
              const isAllowed =
                limits.of(waiting.job.customer)?.startable(waiting.spec, 1) !==
                  0;
              const canRun = candidates.get(waiting.job.pool)?.some((other) =>
                other.accepts(waiting)
              ) === true;
              const records = waiting.job.rounds[0]?.tasks[0]?.records;
              const hasFailed = [...records?.values() ?? []].some((task) =>
                task.lastFailure !== undefined
              );
              if (!waiting.spec.gang && !hasFailed) {
                expect(isAllowed && canRun).toBe(false);
                expect(reason !== "cap" || !isAllowed).toBe(true);
              }
            }
            expect(
              pass.waits.reduce((sum, { tasks }) => sum + tasks, 0),
            ).toBe(
              [...store.waiting.values()].reduce(
                (sum, { indices }) => sum + indices.size,
                0,
              ),
            );
          });
        });
      }),
      RUNS,
    );
  });
});

describe("any load without customers in the plan", () => {
  it("is placed exactly as before customers existed", () => {
    fc.assert(
      fc.property(
        changes.map((all) => all.filter(({ kind }) => kind !== "caps")),
        (all) => {
          const store = newSharedStore(WORKERS);
          all.forEach((each, index) => {
            applyChange(store, each, index, () => {
              const wallNow = 1_000 * index;
              const before = passWithoutCustomers(
                store,
                candidatesOf(store),
                wallNow,
              );
              const pass = passOver(store, wallNow);
              expect(
                pass.placements.map(({ step: { name }, runs }) => ({
                  step: name,
                  runs,
                })),
              ).toEqual(before);
              store.apply(commandOf(pass));
            });
          });
        },
      ),
      RUNS,
    );
  });
});
