/**
 * How an entry without a replica learns where the replicas are, and keeps learning.
 *
 * @module
 */
import { parse } from "@quetzalcove/core";
import { z } from "zod";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { Clock } from "../clock.ts";
import type { Mesh } from "../link/mesh.ts";

/** What a replica tells about the group. */
export const GroupDescription = z.object({
  hosts: z.array(z.string()),
  leader: z.string().optional(),
});
export type GroupDescription = z.infer<typeof GroupDescription>;

/** Interval of questions, in milliseconds: half of that of the balancer's readiness checks. */
const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 450;

/** Time after which an entry that hears from no replica is cut off, in milliseconds: three questions. */
const DISCONNECTED_AFTER_MS = 1_500;

/** Time after which an entry whose replicas name no leader may be cut off with a minority, in milliseconds: some elections. */
const LEADERLESS_AFTER_MS = 5_000;

/** Asks one known replica after the other for the group; the seeds stay known until a replica has answered. */
export class ReplicaDiscovery implements Component {
  readonly name = "directory";
  readonly #mesh: Mesh;
  readonly #log: Log;
  readonly #clock: Pick<Clock, "monotonic">;
  readonly #ticker: Component;
  #pollCount = 0;
  #answeredAt = -Infinity;
  #leaderSeenAt = -Infinity;

  constructor(
    mesh: Mesh,
    seeds: readonly string[],
    clock: Pick<Clock, "monotonic">,
    log: Log,
  ) {
    this.#mesh = mesh;
    this.#clock = clock;
    this.#log = log;
    mesh.setKnown(seeds);
    this.#ticker = ticker("directory", POLL_INTERVAL_MS, () => this.#poll());
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /** Whether this entry can serve as well as any other: it reaches replicas, and they have a leader or elect one. */
  get isConnected(): boolean {
    const now = this.#clock.monotonic();
    return now - this.#answeredAt < DISCONNECTED_AFTER_MS &&
      now - this.#leaderSeenAt < LEADERLESS_AFTER_MS;
  }

  async #poll(): Promise<void> {
    const known = [...this.#mesh.keys()];
    const host = known[this.#pollCount % known.length];
    this.#pollCount += 1;
    if (host === undefined) {
      return;
    }
    const answer = await this.#mesh.get(host)
      .request("describe_group", {}, POLL_TIMEOUT_MS);
    const group = answer.andThen((value) =>
      parse(GroupDescription, value, "describe_group")
    );
    this.#recordAnswer(group.ok ? group.val : undefined);
    if (group.ok && group.val.hosts.length > 0) {
      this.#mesh.setKnown(group.val.hosts);
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
