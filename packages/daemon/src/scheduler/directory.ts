/**
 * How an entry without a replica learns where the replicas are, and keeps learning.
 *
 * @module
 */
import { parse } from "@quetzalcove/core";
import { z } from "zod";
import { type Component, ticker } from "../lifecycle.ts";
import type { Mesh } from "../link/mesh.ts";

/** What a replica tells about the group. */
export const GroupDescription = z.object({
  hosts: z.array(z.string()),
  leader: z.string().optional(),
});
export type GroupDescription = z.infer<typeof GroupDescription>;

/** Interval of questions, in milliseconds: well below the time in which machines are replaced. */
const ASK_MS = 1_000;
const CALL_MS = 800;

/** Time for which a leader that was heard of counts as known, in milliseconds: three questions. */
const LEADER_KNOWN_MS = 3_000;

/** Asks one known replica after the other for the group; the seeds stay known until a replica has answered. */
export class Directory implements Component {
  readonly name = "directory";
  readonly #mesh: Mesh;
  readonly #ticker: Component;
  #turn = 0;
  #leaderHeardAt = -Infinity;

  constructor(mesh: Mesh, seeds: readonly string[]) {
    this.#mesh = mesh;
    mesh.setKnown(seeds);
    this.#ticker = ticker("directory", ASK_MS, () => this.#ask());
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /** Whether a replica named a leader a short while ago. */
  get knowsLeader(): boolean {
    return performance.now() - this.#leaderHeardAt < LEADER_KNOWN_MS;
  }

  async #ask(): Promise<void> {
    const known = [...this.#mesh.keys()];
    const host = known[this.#turn % known.length];
    this.#turn += 1;
    if (host === undefined) {
      return;
    }
    const answer = await this.#mesh.get(host)
      .request("describe_group", {}, CALL_MS);
    const group = answer.andThen((value) =>
      parse(GroupDescription, value, "describe_group")
    );
    if (group.ok && group.val.leader !== undefined) {
      this.#leaderHeardAt = performance.now();
    }
    if (group.ok && group.val.hosts.length > 0) {
      this.#mesh.setKnown(group.val.hosts);
    }
  }
}
