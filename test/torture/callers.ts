/**
 * Callers that send requests until they are stopped, and check each answer immediately.
 *
 * @module
 */
import type { ClusterFixture, Exchange } from "../harness/cluster_fixture.ts";
import { falseAnswers } from "../harness/cluster_fixture.ts";
import type { RandomInt } from "../harness/random_int.ts";

const FAILURES = ["short", "undeclared", "silent"] as const;
/** One in this many requests makes its target fail. */
const REQUESTS_PER_FAILURE = 25;
/** One in this many requests has an idempotency key. */
const REQUESTS_PER_KEY = 2;
/** Minimum run time of a request. */
export const MIN_RUN_MS = 10;
const MAX_EXTRA_RUN_MS = 80;
const DEADLINE_MS = 1_500;
const CALLER_TIMEOUT_MS = 2_000;
const MAX_ATTEMPTS = 40;

/** Concurrent callers, with the outcomes of their requests and the violations that they found. */
export class Callers {
  readonly outcomeCounts = new Map<string, number>();
  readonly violations: string[] = [];
  completedRequests = 0;
  readonly #fixture: ClusterFixture;
  readonly #randomInt: RandomInt;
  #number = 0;
  #stopped = false;
  #tasks: Promise<void>[] = [];

  constructor(fixture: ClusterFixture, randomInt: RandomInt) {
    this.#fixture = fixture;
    this.#randomInt = randomInt;
  }

  start(callers: number): void {
    this.#tasks = Array.from({ length: callers }, () => this.#run());
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#request();
    }
  }

  async #request(): Promise<void> {
    this.#number += 1;
    const isKeyed = this.#randomInt(REQUESTS_PER_KEY) === 0;
    const name = `t-${this.#number}`;
    const isFailing = this.#randomInt(REQUESTS_PER_FAILURE) === 0;
    const options = {
      service: this.#randomInt(2) === 0 ? "intake" : "charts",
      path: `/t/${name}`,
      ...(isKeyed && { key: name }),
      emulate: {
        runMs: MIN_RUN_MS + this.#randomInt(MAX_EXTRA_RUN_MS),
        ...(isFailing &&
          { failure: FAILURES[this.#randomInt(FAILURES.length)] ?? "short" }),
      },
      deadlineMs: DEADLINE_MS,
      timeoutMs: CALLER_TIMEOUT_MS,
    };
    for (
      let attempts = 0;
      attempts < MAX_ATTEMPTS && !this.#stopped;
      attempts += 1
    ) {
      const { names } = this.#fixture.cluster;
      const entry = names[this.#randomInt(names.length)] ?? "";
      const answer = await this.#fixture.send(entry, options);
      this.#check();
      const outcome = answer?.outcome ?? "connection lost";
      this.outcomeCounts.set(
        outcome,
        (this.outcomeCounts.get(outcome) ?? 0) + 1,
      );
      this.completedRequests += 1;
      if (!isKeyed || outcome === "done" || outcome === "unknown") {
        return;
      }
    }
  }

  /** Checks the exchanges since the last check and discards them. */
  #check(): void {
    const exchanges = this.#fixture.exchanges.splice(0);
    this.violations.push(
      ...falseAnswers(exchanges).map((one) =>
        `False answer: ${describeExchange(one)}`
      ),
    );
    for (const one of exchanges) {
      const { answer, call } = one;
      if (answer?.outcome === "done" && answer.status === 200 && !answer.own) {
        this.violations.push(
          `Answer to another request: ${describeExchange(one)}`,
        );
      }
      if (call.key !== undefined && this.#fixture.runCount(call) > 1) {
        this.violations.push(`Ran more than once: ${describeExchange(one)}`);
      }
    }
  }
}

function describeExchange(exchange: Exchange): string {
  return JSON.stringify(exchange);
}
