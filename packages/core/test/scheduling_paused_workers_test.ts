import { describe, expect, it } from "vitest";
import {
  CandidateWorker,
  type JobStore,
  runPlacementPass,
  type StepSpec,
  type Worker,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  place,
  queue,
  run,
  spec,
  step,
  submit,
  worker,
} from "./scheduling_fixture.ts";

const SOUND = [worker("w1"), worker("w2")];

/** Workers on which a pass places the waiting tasks of a store in which one worker is paused. */
function placedOn(
  store: JobStore,
  paused: Worker,
  permitted: readonly string[] = ["w1", "w2", "paused"],
): string[] {
  const candidateOf = (each: Worker, isPaused = false): CandidateWorker =>
    new CandidateWorker(each, store.load(each.id), { isPaused });
  const { placements } = runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates: new Map([
      ["intake", SOUND.map((each) => candidateOf(each))],
    ]),
    paused: new Map([["intake", [candidateOf(paused, true)]]]),
    isPermitted: (_, id) => permitted.includes(id),
  }, 0);
  return placements.flatMap(({ runs }) => runs.map((placed) => placed.worker))
    .sort();
}

/** A store in which a step waits, beside long-running tasks or others that reserve all of the sound workers. */
function storeWith(
  changes: Partial<StepSpec>,
  { paused = worker("paused"), occupiedBy, advised = false }: {
    paused?: Worker;
    occupiedBy?: Partial<StepSpec>;
    advised?: boolean;
  } = {},
): JobStore {
  const store = newJobStore([...SOUND, paused], queue({ advised }));
  if (occupiedBy !== undefined) {
    submit(store, "o", spec(step({ taskCount: 8, ...occupiedBy })));
    const places = Array.from(
      { length: 8 },
      (_, i) => run(`o.0.0.${i}`, 1, i < 4 ? "w1" : "w2"),
    );
    place(store, ...places);
  }
  submit(store, "j", spec(step(changes)));
  return store;
}

// Guards against a step that no worker but a paused one can take, and that waits for as long as the pause lasts (review/8).
describe("a paused worker gets a step that no other worker can take", () => {
  it("since it is to be spread over more workers than there are others", () => {
    const store = storeWith({ taskCount: 3, maxPerWorker: 1, lasting: true });
    expect(placedOn(store, worker("paused"))).toEqual(["paused", "w1", "w2"]);
  });

  it("since its tasks are too large for the others", () => {
    const capacity = { cpuMilli: 16_000, memoryMb: 4_000, gpus: 0 };
    const paused = worker("paused", { capacity });
    const demand = { cpuMilli: 8_000, memoryMb: 100, gpus: 0 };
    const store = storeWith({ demand }, { paused });
    expect(placedOn(store, paused)).toEqual(["paused"]);
  });

  it("since it has the label that the step requires", () => {
    const paused = worker("paused", { labels: ["b", "r1"] });
    const store = storeWith({ requiredLabel: "b" }, { paused });
    expect(placedOn(store, paused)).toEqual(["paused"]);
  });

  it("since only it is permitted", () => {
    const store = storeWith({}, { advised: true });
    expect(placedOn(store, worker("paused"), ["paused"])).toEqual(["paused"]);
  });

  it("since long-running tasks keep the others", () => {
    const store = storeWith({}, { occupiedBy: { lasting: true } });
    expect(placedOn(store, worker("paused"))).toEqual(["paused"]);
  });

  it("since the others cannot take all members of a gang at once", () => {
    const store = storeWith({ taskCount: 3, maxPerWorker: 1, gang: true });
    expect(placedOn(store, worker("paused"))).toEqual(["paused", "w1", "w2"]);
  });

  it("although smaller steps wait for free capacity", () => {
    const capacity = { cpuMilli: 16_000, memoryMb: 4_000, gpus: 0 };
    const paused = worker("paused", { capacity });
    const store = storeWith({ taskCount: 2 }, { paused, occupiedBy: {} });
    const demand = { cpuMilli: 8_000, memoryMb: 100, gpus: 0 };
    submit(store, "k", spec(step({ demand })));
    expect(placedOn(store, paused)).toEqual(["paused"]);
  });
});

// Guards against a sick worker that gets all work for which the others have no room just now.
describe("a paused worker gets no step that another worker can take", () => {
  it("at once, beside it", () => {
    expect(placedOn(storeWith({ taskCount: 2 }), worker("paused")))
      .not.toContain("paused");
  });

  it("when tasks have ended that end by themselves", () => {
    const store = storeWith({ taskCount: 4 }, { occupiedBy: {} });
    expect(placedOn(store, worker("paused"))).toEqual([]);
  });

  it("when tasks of the same step have ended", () => {
    const store = storeWith({ taskCount: 3, maxPerWorker: 1 });
    expect(placedOn(store, worker("paused"))).toEqual(["w1", "w2"]);
  });
});

// Guards against a worker that was slow once and never gets a task again, since a long-running one stays on it.
it("a worker that is probed for its speed runs one task at a time beside long-running ones", () => {
  const store = storeWith({ lasting: true });
  place(store, run("j.0.0.0", 1, "w1"));
  submit(store, "k", spec(step({ taskCount: 2 })));
  const waiting = store.waiting.get("k.0.0")!;
  const probed = new CandidateWorker(SOUND[0]!, store.load("w1"), {
    slowness: { factor: 4, isProbed: true },
  });
  expect(probed.accepts(waiting)).toBe(true);
  probed.reserve(waiting);
  expect(probed.accepts(waiting)).toBe(false);
});
