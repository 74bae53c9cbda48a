/**
 * Calls of an entry at whichever replica leads.
 *
 * @module
 */
import { Err, type Fault, fault, type Result } from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { within } from "../deadline.ts";
import type { Handlers } from "../link/connection.ts";
import type { Link } from "../link/link.ts";
import { wait } from "../waiting.ts";

/** Links by the name of the entry at the other end. */
export interface LinkDirectory {
  get(entry: string): Pick<Link, "request"> | undefined;
  keys(): Iterable<string>;
}

/** What a leader client needs. */
export interface LeaderRoutes {
  /** This daemon's entry name. */
  entry: string;
  /** Handlers of this daemon, when it is a replica itself. */
  local: Handlers | undefined;
  /** Links to the other replicas, by entry name; replicas may come and go. */
  links: LinkDirectory;
  clock: Pick<Clock, "monotonic">;
}

/** Wait for one replica's answer; a frozen leader is given up about when another one is elected. */
const TRY_MS = 700;

/** Wait before the next replica is tried, in milliseconds. */
const RETRY_WAIT_MS = 50;

export class LeaderClient {
  readonly #routes: LeaderRoutes;
  #leader: string | undefined;
  #turn = 0;

  constructor(routes: LeaderRoutes) {
    this.#routes = routes;
  }

  /** The replica that led at the last successful call. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /**
   * Calls an idempotent method at the leader, again at another replica while the answer is `not_leader`, `no_leader` or
   * `timeout`, until the timeout in milliseconds. Says "not run" only when no try can have taken effect.
   */
  async call(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Fault>> {
    const { clock } = this.#routes;
    const deadline = clock.monotonic() + timeoutMs;
    // Errors are expensive to build, and a call that succeeds needs none.
    let last: Result<unknown, Fault> | undefined;
    let inDoubt = false;
    for (let left = timeoutMs; left > 0; left = deadline - clock.monotonic()) {
      const candidate = this.#leader ?? this.#nextCandidate();
      last = await this.#callAt(
        candidate,
        method,
        params,
        Math.min(left, TRY_MS),
      );
      if (last.ok || !isAboutLeadership(last.val)) {
        return last;
      }
      inDoubt ||= last.val.outcome !== "not run";
      const hint = last.val.kind === "not_leader" ? last.val.leader : undefined;
      this.#leader = hint === candidate ? undefined : hint;
      if (this.#leader === undefined) {
        await wait(
          Math.min(RETRY_WAIT_MS, Math.max(0, deadline - clock.monotonic())),
        );
      }
    }
    last ??= Err(notSent("No replica is known"));
    return inDoubt
      ? last.mapErr((found) => ({ ...found, outcome: "unknown" as const }))
      : last;
  }

  async #callAt(
    candidate: string | undefined,
    method: string,
    params: unknown,
    leftMs: number,
  ): Promise<Result<unknown, Fault>> {
    if (candidate === undefined) {
      return Err(notSent("No replica is known"));
    }
    const result = await this.#send(candidate, method, params, leftMs);
    if (result.ok) {
      this.#leader = candidate;
    }
    return result;
  }

  #send(
    candidate: string,
    method: string,
    params: unknown,
    leftMs: number,
  ): Promise<Result<unknown, Fault>> {
    if (candidate === this.#routes.entry) {
      const handler = this.#routes.local?.get(method);
      return handler === undefined
        ? Promise.resolve(Err(fault("internal", `No method "${method}"`)))
        : answeredWithin(leftMs, method, handler(params));
    }
    const link = this.#routes.links.get(candidate);
    return link === undefined
      ? Promise.resolve(Err(notSent(`No link to "${candidate}"`)))
      : link.request(method, params, leftMs);
  }

  #nextCandidate(): string | undefined {
    const { local, entry, links } = this.#routes;
    const own = local === undefined ? [] : [entry];
    const candidates = [...own, ...links.keys()];
    this.#turn += 1;
    return candidates[this.#turn % Math.max(1, candidates.length)];
  }
}

function isAboutLeadership(found: Fault): boolean {
  return found.kind === "not_leader" || found.kind === "no_leader" ||
    found.kind === "timeout";
}

function notSent(message: string): Fault {
  return fault("no_leader", message, { outcome: "not run" });
}

/** The leader in this process cannot commit while it is cut off, so a call of it has a deadline as well. */
async function answeredWithin(
  limitMs: number,
  method: string,
  answer: Promise<Result<unknown, Fault>>,
): Promise<Result<unknown, Fault>> {
  return await within(limitMs, answer) ??
    Err(fault("timeout", `Call of ${method} here got no answer in time`));
}
