/**
 * Callers that send requests for as long as the run lasts, and check each answer at once.
 *
 * @module
 */
import type { ClusterFixture, Exchange } from "../harness/cluster_fixture.ts";
import { falseAnswers } from "../harness/cluster_fixture.ts";
import type { Pick } from "../harness/pick.ts";

const FAILURES = ["short", "undeclared", "silent"] as const;
const REQUESTS_PER_FAILURE = 25;
const REQUESTS_PER_KEY = 2;
/** Least run time of a request, in milliseconds. */
export const MIN_RUN_MS = 10;
const MAX_EXTRA_RUN_MS = 80;
const DEADLINE_MS = 1_500;
const CALLER_TIMEOUT_MS = 2_000;
const MAX_ATTEMPTS = 40;

/** What came of all requests. */
export class Callers {
  readonly outcomeCounts = new Map<string, number>();
  readonly violations: string[] = [];
  completedRequests = 0;
  readonly #fixture: ClusterFixture;
  readonly #pick: Pick;
  #number = 0;
  #stopped = false;
  #tasks: Promise<void>[] = [];

  constructor(fixture: ClusterFixture, pick: Pick) {
    this.#fixture = fixture;
    this.#pick = pick;
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
    const keyed = this.#pick(REQUESTS_PER_KEY) === 0;
    const name = `t-${this.#number}`;
    const fails = this.#pick(REQUESTS_PER_FAILURE) === 0;
    const options = {
      service: this.#pick(2) === 0 ? "intake" : "charts",
      path: `/t/${name}`,
      ...(keyed && { key: name }),
      emulate: {
        runMs: MIN_RUN_MS + this.#pick(MAX_EXTRA_RUN_MS),
        ...(fails &&
          { failure: FAILURES[this.#pick(FAILURES.length)] ?? "short" }),
      },
      deadlineMs: DEADLINE_MS,
      patienceMs: CALLER_TIMEOUT_MS,
    };
    for (let tries = 0; tries < MAX_ATTEMPTS && !this.#stopped; tries += 1) {
      const { names } = this.#fixture.cluster;
      const entry = names[this.#pick(names.length)] ?? "";
      const answer = await this.#fixture.send(entry, options);
      this.#check();
      const outcome = answer?.outcome ?? "connection lost";
      this.outcomeCounts.set(
        outcome,
        (this.outcomeCounts.get(outcome) ?? 0) + 1,
      );
      this.completedRequests += 1;
      if (!keyed || outcome === "done" || outcome === "unknown") {
        return;
      }
    }
  }

  /** Checks the exchanges since the last check and lets them go. */
  #check(): void {
    const exchanges = this.#fixture.exchanges.splice(0);
    this.violations.push(
      ...falseAnswers(exchanges).map((one) =>
        `Untrue: ${describeExchange(one)}`
      ),
    );
    for (const one of exchanges) {
      const { answer, call } = one;
      if (answer?.outcome === "done" && answer.status === 200 && !answer.own) {
        this.violations.push(`Not its own answer: ${describeExchange(one)}`);
      }
      if (call.key !== undefined && this.#fixture.runCount(call) > 1) {
        this.violations.push(`Ran twice: ${describeExchange(one)}`);
      }
    }
  }
}

function describeExchange(exchange: Exchange): string {
  return JSON.stringify(exchange);
}
