/**
 * Calls methods at the replica that leads.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  type FaultKind,
  type Result,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { withTimeout } from "../timeout.ts";
import type { Handlers } from "../link/connection.ts";
import type { Link } from "../link/link.ts";
import { wait } from "../waiting.ts";

/** Links by the name of the entry at the other end. */
export interface LinkDirectory {
  get(entry: string): Pick<Link, "request"> | undefined;
  keys(): Iterable<string>;
}

/** Dependencies of a leader client. */
export interface LeaderClientParts {
  /** Entry name of this daemon. */
  entry: string;
  /** Handlers of this daemon if it is a replica itself. */
  local: Handlers | undefined;
  /** Links to the other replicas, by entry name; the set of replicas may change. */
  links: LinkDirectory;
  clock: Pick<Clock, "monotonic">;
}

/** Timeout of a call at one replica: about the time in which a leader that does not answer is replaced. */
const ATTEMPT_TIMEOUT_MS = 700;

/** Delay before the next replica is tried. */
const RETRY_DELAY_MS = 50;

/** Time for which hints at a leader that has just failed are ignored: part of the duration of an election. */
const FAILED_LEADER_AVOIDANCE_MS = 300;

/** Time without a leader after which calls fail at once instead of waiting: the duration of two elections. */
const FAIL_FAST_AFTER_MS = 3_000;

/** Retry-After as a share of the time without a leader: callers wait at most half as long again as the outage. */
const RETRY_AFTER_SHARE = 0.5;

/** Bounds of Retry-After: the duration of an election, and the deadline of most callers. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Faults that only a confirmed leader gives. If they did not tell the leader, a flood of refused calls would take turns
 * in searching for it while valid calls wait.
 */
const LEADER_FAULTS: readonly FaultKind[] = ["unauthenticated", "over_quota"];

export class LeaderClient {
  readonly #parts: LeaderClientParts;
  #leader: string | undefined;
  /** Monotonic time since which no leader is known. */
  #leaderlessSince: number;
  /** The single call that searches for the leader; all waiting calls would overload the replicas during an election. */
  #search: Promise<void> | undefined;
  #replicaIndex = 0;
  /** The last leader that failed or lost leadership, and the monotonic time of that. */
  #failedLeader: string | undefined;
  #failedAt = -Infinity;

  constructor(parts: LeaderClientParts) {
    this.#parts = parts;
    this.#leaderlessSince = parts.clock.monotonic();
  }

  /** The replica that led at the last successful call. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /**
   * Calls an idempotent method at the leader. Retries at another replica on `not_leader`, `no_leader` or `timeout`, up
   * to the timeout in milliseconds. While no leader is known, one call searches and the others wait; if that takes too
   * long they fail at once. The outcome is "not run" only if no attempt can have taken effect.
   */
  async call(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Fault>> {
    const { clock } = this.#parts;
    const deadline = clock.monotonic() + timeoutMs;
    // Built only on failure, since creating an error is expensive.
    let last: Result<unknown, Fault> | undefined;
    let mayHaveRun = false;
    for (
      let leftMs = timeoutMs;
      leftMs > 0;
      leftMs = deadline - clock.monotonic()
    ) {
      if (this.#leader === undefined && this.#search !== undefined) {
        if (!mayHaveRun && this.#leaderlessMs() >= FAIL_FAST_AFTER_MS) {
          break;
        }
        await withTimeout(leftMs, this.#search);
        continue;
      }
      last = this.#leader === undefined
        ? await this.#searchLeader(method, params, leftMs)
        : await this.#callAt(this.#leader, method, params, leftMs);
      if (last.ok || !isLeadershipFault(last.val)) {
        return mayHaveRun ? last.mapErr(withoutPromise) : last;
      }
      mayHaveRun ||= last.val.outcome !== "not run";
    }
    last ??= Err(notSentFault("No replica leads"));
    return last.mapErr((cause) =>
      mayHaveRun
        ? { ...cause, outcome: "unknown" as const }
        : { retryAfterMs: this.#retryAfterMs(), ...cause }
    );
  }

  /** Calls the next replica while the other calls wait for the search. */
  async #searchLeader(
    method: string,
    params: unknown,
    leftMs: number,
  ): Promise<Result<unknown, Fault>> {
    let endSearch = (): void => {};
    this.#search = new Promise((resolve) => {
      endSearch = resolve;
    });
    const replica = this.#nextReplica();
    const result = replica === undefined
      ? Err(notSentFault("No replica is known"))
      : await this.#callAt(replica, method, params, leftMs);
    if (this.#leader === undefined) {
      await wait(Math.min(RETRY_DELAY_MS, leftMs));
    }
    this.#search = undefined;
    endSearch();
    return result;
  }

  async #callAt(
    replica: string,
    method: string,
    params: unknown,
    leftMs: number,
  ): Promise<Result<unknown, Fault>> {
    const timeoutMs = Math.min(leftMs, ATTEMPT_TIMEOUT_MS);
    const result = await this.#send(replica, method, params, timeoutMs);
    if (result.ok || LEADER_FAULTS.includes(result.val.kind)) {
      this.#leader = replica;
    } else if (
      isLeadershipFault(result.val) &&
      // Another call may have found the leader in the meantime.
      (this.#leader === undefined || this.#leader === replica)
    ) {
      this.#updateLeader(result.val, replica);
    }
    return result;
  }

  /** Adopts the leader that a replica named, if any; replicas may still name one that has just failed. */
  #updateLeader({ kind, leader }: Fault, replica: string): void {
    const now = this.#parts.clock.monotonic();
    const hasFailed = leader === this.#failedLeader &&
      now - this.#failedAt < FAILED_LEADER_AVOIDANCE_MS;
    const hint = kind === "not_leader" && leader !== replica && !hasFailed
      ? leader
      : undefined;
    if (this.#leader === replica && hint === undefined) {
      this.#failedLeader = replica;
      this.#failedAt = now;
      this.#leaderlessSince = now;
    }
    this.#leader = hint;
  }

  #leaderlessMs(): number {
    return this.#leader === undefined
      ? this.#parts.clock.monotonic() - this.#leaderlessSince
      : 0;
  }

  /** Retry-After for callers; grows with the time without a leader. */
  #retryAfterMs(): number {
    const retryAfterMs = Math.max(
      MIN_RETRY_AFTER_MS,
      RETRY_AFTER_SHARE * this.#leaderlessMs(),
    );
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, retryAfterMs));
  }

  #send(
    replica: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Fault>> {
    if (replica === this.#parts.entry) {
      const handler = this.#parts.local?.get(method);
      return handler === undefined
        ? Promise.resolve(Err(fault("internal", `No method "${method}"`)))
        : localCallWithTimeout(timeoutMs, method, handler(params));
    }
    const link = this.#parts.links.get(replica);
    return link === undefined
      ? Promise.resolve(Err(notSentFault(`No link to "${replica}"`)))
      : link.request(method, params, timeoutMs);
  }

  #nextReplica(): string | undefined {
    const { local, entry, links } = this.#parts;
    const localReplicas = local === undefined ? [] : [entry];
    const replicas = [...localReplicas, ...links.keys()];
    this.#replicaIndex += 1;
    return replicas[this.#replicaIndex % Math.max(1, replicas.length)];
  }
}

function isLeadershipFault(cause: Fault): boolean {
  return cause.kind === "not_leader" || cause.kind === "no_leader" ||
    cause.kind === "timeout";
}

/** A refusal of the last attempt does not tell whether an earlier one took effect. */
function withoutPromise(cause: Fault): Fault {
  return cause.outcome === "not run" ? { ...cause, outcome: "unknown" } : cause;
}

function notSentFault(message: string): Fault {
  return fault("no_leader", message, { outcome: "not run" });
}

/** Local calls have a timeout too, since a leader in this process cannot commit while it is partitioned. */
async function localCallWithTimeout(
  timeoutMs: number,
  method: string,
  answer: Promise<Result<unknown, Fault>>,
): Promise<Result<unknown, Fault>> {
  return await withTimeout(timeoutMs, answer) ??
    Err(fault("timeout", `Call of ${method} here got no answer in time`));
}
