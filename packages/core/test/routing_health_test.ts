import type {
  Completion,
  Router,
  RoutingDecision,
  ServiceDescription,
} from "@quetzalcove/core";
import { expect, test } from "vitest";
import { routerWith, submission } from "./routing_fixture.ts";

const STEP_MS = 10;
const RUN_MS = 60;

/** Submits one request per step; failing targets fail in the next step, the others answer after `RUN_MS`. */
class LoadGenerator {
  readonly sends: Record<string, number> = {};
  readonly failing = new Set<string>();
  /** Completion of attempts at failing targets. */
  failure: Completion = "failed";
  readonly #router: Router;
  readonly #ends: { at: number; id: string; target: string }[] = [];
  #now = 0;
  #requests = 0;

  constructor(router: Router) {
    this.#router = router;
  }

  run(steps: number): this {
    for (let step = 0; step < steps; step++) {
      this.#step();
      this.#requests += 1;
      const deadline = this.#now + 5_000;
      const changes = { repeatable: true, deadline };
      const request = submission(`r${this.#requests}`, changes);
      this.#execute(this.#router.submit(request, this.#now));
    }
    return this;
  }

  /** Lets requests in flight end without submitting new ones. */
  settle(steps: number): this {
    for (let step = 0; step < steps; step++) {
      this.#step();
    }
    return this;
  }

  #step(): void {
    this.#now += STEP_MS;
    const due = this.#ends.filter((end) => end.at <= this.#now);
    for (const end of due) {
      this.#ends.splice(this.#ends.indexOf(end), 1);
      const completion = this.failing.has(end.target) ? this.failure : "ok";
      this.#execute(this.#router.complete(end.id, completion, this.#now));
    }
    this.#execute(this.#router.expire(this.#now));
  }

  #execute(decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      if (decision.kind === "send") {
        const { id, target } = decision;
        const ms = this.failing.has(target) ? STEP_MS : RUN_MS;
        this.#ends.push({ at: this.#now + ms, id, target });
        this.sends[target] = (this.sends[target] ?? 0) + 1;
      }
    }
  }
}

function createLoad(
  slots: Record<string, number>,
  failing: readonly string[],
): { load: LoadGenerator; router: Router } {
  const router = routerWith(slots);
  const load = new LoadGenerator(router);
  failing.forEach((target) => load.failing.add(target));
  return { load, router };
}

function healthStates(router: Router): Record<string, string> {
  const [service] = router.describe(0) as [ServiceDescription];
  return Object.fromEntries(service.targets.map((t) => [t.target, t.standing]));
}

test.each(
  [
    ["fails every request", "failed"],
    ["refuses every request", "refused"],
    ["is unreachable", "unreachable"],
  ] as const,
)("ejects a target that %s", (_, failure) => {
  const { load, router } = createLoad({ a: 2, b: 2, c: 2 }, ["a"]);
  load.failure = failure;
  load.run(100);
  expect(healthStates(router)).toEqual({
    a: "ejected",
    b: "healthy",
    c: "healthy",
  });
  expect(load.sends["a"]).toBeLessThanOrEqual(10);
});

test("does not eject targets when all fail, because the cause is not a single target", () => {
  const { load, router } = createLoad({ a: 2, b: 2, c: 2 }, ["a", "b", "c"]);
  load.run(200);
  expect(new Set(Object.values(healthStates(router)))).toEqual(
    new Set(["healthy"]),
  );
});

test("ejects at most a third of the targets when the others cannot carry the load", () => {
  const failing = ["a", "b", "c"];
  const slots = { a: 1, b: 1, c: 1, d: 1, e: 1, f: 1 };
  const { load, router } = createLoad(slots, failing);
  load.run(300);
  const ejected = Object.entries(healthStates(router))
    .filter(([, standing]) => standing === "ejected" || standing === "probing");
  expect(ejected.length).toBe(2);
  expect(failing).toEqual(
    expect.arrayContaining(ejected.map(([target]) => target)),
  );
});

test("keeps a partially failing target when the others cannot carry the load", () => {
  const busy = routerWith({ a: 2, b: 2 });
  for (let index = 0; index < 300; index++) {
    const now = index * 30;
    const id = `r${index}`;
    const [next] = busy.submit(submission(id, { deadline: now + 5_000 }), now);
    if (next?.kind === "send") {
      const fails = next.target === "a" && index % 3 !== 0;
      busy.complete(id, fails ? "failed" : "ok", now + 100);
    }
  }
  expect(healthStates(busy)["a"]).toBe("healthy");
});

test("probes an ejected target with one repeatable request and then starts it slowly", () => {
  const { load, router } = createLoad({ a: 4, b: 4 }, ["a"]);
  load.run(100).settle(200);
  expect(healthStates(router)["a"]).toBe("ejected");
  const later = 60_000;
  const targetOf = (id: string, repeatable: boolean): string => {
    const changes = { repeatable, deadline: later + 5_000 };
    const [first] = router.submit(submission(id, changes), later);
    return first?.kind === "send" ? first.target : "";
  };
  expect(targetOf("once", false)).toBe("b");
  expect(targetOf("probe", true)).toBe("a");
  expect(targetOf("other", true)).toBe("b");
  expect(healthStates(router)["a"]).toBe("probing");
  router.complete("probe", "ok", later + 10);
  expect(healthStates(router)["a"]).toBe("ramping");
  const burst = ["b1", "b2", "b3", "b4"].map((id) => targetOf(id, true));
  expect(burst.filter((target) => target === "a")).toHaveLength(1);
});

test("doubles the time until the next probe after each failed probe", () => {
  const { load, router } = createLoad({ a: 4, b: 4 }, ["a"]);
  load.run(100);
  expect(healthStates(router)["a"]).toBe("ejected");
  const before = load.sends["a"] ?? 0;
  const secondsOfLoad = (seconds: number): number => {
    load.run(seconds * 1_000 / STEP_MS);
    return (load.sends["a"] ?? 0) - before;
  };
  expect(secondsOfLoad(2.5)).toBe(1);
  expect(secondsOfLoad(2.5)).toBe(1);
  expect(secondsOfLoad(1.5)).toBe(2);
});

test("ejects a target after a few timeouts", () => {
  const { router } = createLoad({ a: 3, b: 8 }, []);
  const started: string[] = [];
  for (let index = 0; index < 11; index++) {
    const request = submission(`r${index}`, { deadline: 1_000 });
    const [first] = router.submit(request, 0);
    if (first?.kind === "send" && first.target === "b") {
      started.push(request.id);
    }
  }
  started.forEach((id) => router.complete(id, "ok", 100));
  router.expire(1_000);
  expect(healthStates(router)).toEqual({ a: "ejected", b: "healthy" });
});
