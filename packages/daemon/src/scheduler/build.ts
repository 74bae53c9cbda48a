/**
 * Which build of the program a process runs, and which its peers run.
 *
 * @module
 */
import { z } from "zod";
import type { Connection } from "../link/connection.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";

/** Identity of a build, as its bundle names it. */
export const Build = z.object({
  /** Hash of the bundle. */
  id: z.string(),
  /** Commit that was built; `-dirty` marks changes to it. */
  revision: z.string(),
  /** Commit of the checkout from which the program was started; undefined outside of a Git repository. */
  checkout: z.string().optional(),
});
export type Build = z.infer<typeof Build>;

/** Build of a program that runs without a bundle, for instance in a test. */
export const UNKNOWN_BUILD: Build = { id: "unknown", revision: "unknown" };

/** Whether a build is known to be of another commit than the checkout from which it was started. */
export function isOutdated({ revision, checkout }: Build): boolean {
  const commit = revision.replace(/-dirty$/, "");
  return checkout !== undefined && revision !== UNKNOWN_BUILD.revision &&
    !checkout.startsWith(commit);
}

/** A process that has a connection to this one. */
export const PeerBuild = z.object({
  host: z.string(),
  /** Identity of its build; "unknown" for a program that does not tell it. */
  build: z.string(),
});
export type PeerBuild = z.infer<typeof PeerBuild>;

/** The builds of the processes that are connected to this one. */
export class PeerBuilds {
  readonly #own: Build;
  readonly #log: Log;
  /** By connection, of which there is a limited number; a stranger may claim any host. */
  readonly #peers = new Map<Connection, PeerBuild>();

  constructor(own: Build, metrics: Metrics, log: Log) {
    this.#own = own;
    this.#log = log;
    metrics.gauge("quetzalcove_build_info", () => 1, {
      build: own.id,
      revision: own.revision,
    });
    metrics.collect(() =>
      [...this.#countByBuild()].map(([build, value]) => ({
        name: "quetzalcove_peers",
        type: "gauge",
        labels: { build },
        value,
      }))
    );
  }

  /** Records the build that a process tells when it connects; later claims on the same connection are ignored. */
  record(connection: Connection, peer: PeerBuild): void {
    this.#forgetClosed();
    if (this.#peers.has(connection)) {
      return;
    }
    this.#peers.set(connection, peer);
    if (peer.build !== this.#own.id) {
      this.#log.warn("peer.other_build", {
        peer: peer.host,
        build: peer.build,
        ownBuild: this.#own.id,
      });
    }
  }

  /** Connected processes that run another build than this one, by host. */
  others(): PeerBuild[] {
    this.#forgetClosed();
    const byHost = new Map(
      [...this.#peers.values()].map((peer) => [peer.host, peer]),
    );
    return [...byHost.values()].filter(({ build }) => build !== this.#own.id);
  }

  #countByBuild(): Map<string, number> {
    this.#forgetClosed();
    const counts = new Map<string, number>();
    for (const { build } of this.#peers.values()) {
      counts.set(build, (counts.get(build) ?? 0) + 1);
    }
    return counts;
  }

  #forgetClosed(): void {
    for (const connection of this.#peers.keys()) {
      if (!connection.isOpen) {
        this.#peers.delete(connection);
      }
    }
  }
}
