/**
 * Discovery of the replicas by an entry node that has no replica of its own.
 *
 * @module
 */
import { parse } from "@quetzalcove/core";
import { z } from "zod";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { Clock } from "../clock.ts";
import type { LinkPool } from "../link/link_pool.ts";

/** Answer to `describe_group`: the hosts of all replicas, and the leader if there is one. */
export const GroupDescription = z.object({
  hosts: z.array(z.string()),
  leader: z.string().optional(),
});
export type GroupDescription = z.infer<typeof GroupDescription>;

/** Interval between polls: half the interval of the load balancer's readiness checks. */
const POLL_INTERVAL_MS = 500;

/** Interval between polls while no replica with a leader answers, so that callers wait no longer than for the leader. */
const SEARCH_INTERVAL_MS = 100;

const POLL_TIMEOUT_MS = 450;

/** Time without an answer from any replica after which the entry node counts as disconnected: three polls. */
const DISCONNECTED_AFTER_MS = 1_500;

/**
 * Time without a known leader after which the entry node counts as disconnected: several elections. By then it is
 * probably partitioned off with a minority of the replicas.
 */
const LEADERLESS_AFTER_MS = 5_000;

/** Polls the known replicas in round-robin order for the group; starts from the seeds until one has answered. */
export class ReplicaDiscovery implements Component {
  readonly name = "directory";
  readonly #linkPool: LinkPool;
  readonly #seeds: readonly string[];
  readonly #log: Log;
  readonly #clock: Pick<Clock, "monotonic">;
  readonly #ticker: Component;
  #pollCount = 0;
  #polledAt = -Infinity;
  #answeredAt = -Infinity;
  #leaderSeenAt = -Infinity;

  constructor(
    linkPool: LinkPool,
    seeds: readonly string[],
    clock: Pick<Clock, "monotonic">,
    log: Log,
  ) {
    this.#linkPool = linkPool;
    this.#clock = clock;
    this.#log = log;
    this.#seeds = seeds;
    this.#ticker = ticker(
      "directory",
      SEARCH_INTERVAL_MS,
      () => this.#pollIfDue(),
    );
  }

  start(): Promise<void> {
    this.#linkPool.setKnownHosts(this.#seeds);
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /** Whether the entry node can serve as well as any other: it reaches replicas that have or recently had a leader. */
  get isConnected(): boolean {
    const now = this.#clock.monotonic();
    return now - this.#answeredAt < DISCONNECTED_AFTER_MS &&
      now - this.#leaderSeenAt < LEADERLESS_AFTER_MS;
  }

  async #pollIfDue(): Promise<void> {
    const now = this.#clock.monotonic();
    const isDue = now - this.#polledAt >= POLL_INTERVAL_MS ||
      !this.isConnected || this.#leaderSeenAt < this.#answeredAt;
    if (!isDue) {
      return;
    }
    // A replica whose link is not open would fail the poll at once.
    const known = [...this.#linkPool.keys()].filter((host) =>
      this.#linkPool.get(host).isOpen
    );
    const host = known[this.#pollCount % known.length];
    if (host !== undefined) {
      this.#pollCount += 1;
      this.#polledAt = now;
      await this.#poll(host);
    }
  }

  async #poll(host: string): Promise<void> {
    const answer = await this.#linkPool.get(host)
      .request("describe_group", {}, POLL_TIMEOUT_MS);
    const group = answer.andThen((value) =>
      parse(GroupDescription, value, "describe_group")
    );
    this.#recordAnswer(group.ok ? group.val : undefined);
    if (group.ok && group.val.hosts.length > 0) {
      this.#linkPool.setKnownHosts(group.val.hosts);
    }
  }

  #recordAnswer(group: GroupDescription | undefined): void {
    const now = this.#clock.monotonic();
    const wasConnected = this.isConnected;
    if (group !== undefined) {
      this.#answeredAt = now;
    }
    if (group?.leader !== undefined) {
      this.#leaderSeenAt = now;
    }
    if (this.isConnected !== wasConnected) {
      this.#log.info(
        this.isConnected ? "group.reached" : "group.lost",
        { leader: group?.leader },
      );
    }
  }
}
