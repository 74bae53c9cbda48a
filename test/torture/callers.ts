/**
 * Callers that send requests for as long as the run lasts, and check each answer at once.
 *
 * @module
 */
import type { Delivery, Scene } from "../harness/scene.ts";
import { lies } from "../harness/scene.ts";
import type { Pick } from "../harness/pick.ts";

const FAILURES = ["short", "undeclared", "silent"] as const;
const FAILURE_SHARE = 25;
const KEYED_SHARE = 2;
/** Least run time of a request, in milliseconds. */
export const RUN_MS = 10;
const MAX_RUN_MS = 80;
const DEADLINE_MS = 1_500;
const PATIENCE_MS = 2_000;
const MAX_TRIES = 40;

/** What came of all requests. */
export class Callers {
  readonly outcomes = new Map<string, number>();
  readonly faults: string[] = [];
  answered = 0;
  readonly #scene: Scene;
  readonly #pick: Pick;
  #number = 0;
  #stopped = false;
  #working: Promise<void>[] = [];

  constructor(scene: Scene, pick: Pick) {
    this.#scene = scene;
    this.#pick = pick;
  }

  start(callers: number): void {
    this.#working = Array.from({ length: callers }, () => this.#work());
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#working);
  }

  async #work(): Promise<void> {
    while (!this.#stopped) {
      await this.#request();
    }
  }

  async #request(): Promise<void> {
    this.#number += 1;
    const keyed = this.#pick(KEYED_SHARE) === 0;
    const name = `t-${this.#number}`;
    const fails = this.#pick(FAILURE_SHARE) === 0;
    const order = {
      service: this.#pick(2) === 0 ? "intake" : "charts",
      path: `/t/${name}`,
      ...(keyed && { key: name }),
      emulate: {
        runMs: RUN_MS + this.#pick(MAX_RUN_MS),
        ...(fails &&
          { failure: FAILURES[this.#pick(FAILURES.length)] ?? "short" }),
      },
      deadlineMs: DEADLINE_MS,
      patienceMs: PATIENCE_MS,
    };
    for (let tries = 0; tries < MAX_TRIES && !this.#stopped; tries += 1) {
      const { names } = this.#scene.cluster;
      const entry = names[this.#pick(names.length)] ?? "";
      const seen = await this.#scene.send(entry, order);
      this.#check();
      const outcome = seen?.outcome ?? "connection lost";
      this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
      this.answered += 1;
      if (!keyed || outcome === "done" || outcome === "unknown") {
        return;
      }
    }
  }

  /** Checks the deliveries since the last check and lets them go. */
  #check(): void {
    const deliveries = this.#scene.deliveries.splice(0);
    this.faults.push(
      ...lies(deliveries).map((one) => `Untrue: ${textOf(one)}`),
    );
    for (const one of deliveries) {
      const { seen, order } = one;
      if (seen?.outcome === "done" && seen.status === 200 && !seen.own) {
        this.faults.push(`Not its own answer: ${textOf(one)}`);
      }
      if (order.key !== undefined && this.#scene.ran(order) > 1) {
        this.faults.push(`Ran twice: ${textOf(one)}`);
      }
    }
  }
}

function textOf(delivery: Delivery): string {
  return JSON.stringify(delivery);
}
