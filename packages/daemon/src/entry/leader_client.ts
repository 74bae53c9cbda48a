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

/** Time for which a leader that failed is not asked again because others name it, in milliseconds: part of an election. */
const SUSPECT_MS = 300;

/** Time without a leader after which callers are told to come back instead of waiting, in milliseconds: two elections. */
const HOPELESS_MS = 3_000;

/** Pause that callers are asked for, as a share of the time without a leader: they notice the end late by half of it. */
const PAUSE_SHARE = 0.5;

/** Bounds of that pause, in milliseconds: one election, and the deadline of most callers. */
const SHORTEST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 3_000;

export class LeaderClient {
  readonly #routes: LeaderRoutes;
  #leader: string | undefined;
  /** Since when no leader is known. */
  #leaderlessSince: number;
  /** The one call that looks for the leader; replicas that elect one would be flooded by all that wait. */
  #search: Promise<void> | undefined;
  #turn = 0;
  /** The last leader that did not answer as one, and when. */
  #failed: string | undefined;
  #failedAt = -Infinity;

  constructor(routes: LeaderRoutes) {
    this.#routes = routes;
    this.#leaderlessSince = routes.clock.monotonic();
  }

  /** The replica that led at the last successful call. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /**
   * Calls an idempotent method at the leader, again at another replica while the answer is `not_leader`, `no_leader` or
   * `timeout`, until the timeout in milliseconds. While no leader is known, one call searches and the others wait; once
   * that takes long they fail at once. Says "not run" only when no try can have taken effect.
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
      if (this.#leader === undefined && this.#search !== undefined) {
        if (!inDoubt && this.#leaderlessMs() >= HOPELESS_MS) {
          break;
        }
        await within(left, this.#search);
        continue;
      }
      last = this.#leader === undefined
        ? await this.#searchWith(method, params, left)
        : await this.#callAt(this.#leader, method, params, left);
      if (last.ok || !isAboutLeadership(last.val)) {
        return last;
      }
      inDoubt ||= last.val.outcome !== "not run";
    }
    last ??= Err(notSent("No replica leads"));
    return last.mapErr((found) =>
      inDoubt
        ? { ...found, outcome: "unknown" as const }
        : { retryAfterMs: this.#pauseMs(), ...found }
    );
  }

  /** Calls the next candidate while the other calls wait. */
  async #searchWith(
    method: string,
    params: unknown,
    leftMs: number,
  ): Promise<Result<unknown, Fault>> {
    let end = (): void => {};
    this.#search = new Promise((resolve) => {
      end = resolve;
    });
    const candidate = this.#nextCandidate();
    const result = candidate === undefined
      ? Err(notSent("No replica is known"))
      : await this.#callAt(candidate, method, params, leftMs);
    if (this.#leader === undefined) {
      await wait(Math.min(RETRY_WAIT_MS, leftMs));
    }
    this.#search = undefined;
    end();
    return result;
  }

  async #callAt(
    candidate: string,
    method: string,
    params: unknown,
    leftMs: number,
  ): Promise<Result<unknown, Fault>> {
    const limitMs = Math.min(leftMs, TRY_MS);
    const result = await this.#send(candidate, method, params, limitMs);
    if (result.ok) {
      this.#leader = candidate;
    } else if (
      isAboutLeadership(result.val) &&
      // Another call may have found the leader meanwhile.
      (this.#leader === undefined || this.#leader === candidate)
    ) {
      this.#follow(result.val, candidate);
    }
    return result;
  }

  /** Goes on with the leader that a replica named, if any; one that has just failed may still be named. */
  #follow({ kind, leader }: Fault, candidate: string): void {
    const now = this.#routes.clock.monotonic();
    const hasFailed = leader === this.#failed &&
      now - this.#failedAt < SUSPECT_MS;
    const hint = kind === "not_leader" && leader !== candidate && !hasFailed
      ? leader
      : undefined;
    if (this.#leader === candidate && hint === undefined) {
      this.#failed = candidate;
      this.#failedAt = now;
      this.#leaderlessSince = now;
    }
    this.#leader = hint;
  }

  #leaderlessMs(): number {
    return this.#leader === undefined
      ? this.#routes.clock.monotonic() - this.#leaderlessSince
      : 0;
  }

  /** When callers should come back: the longer there has been no leader, the later. */
  #pauseMs(): number {
    const pauseMs = Math.max(
      SHORTEST_PAUSE_MS,
      PAUSE_SHARE * this.#leaderlessMs(),
    );
    return Math.round(Math.min(LONGEST_PAUSE_MS, pauseMs));
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
