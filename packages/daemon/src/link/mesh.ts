/**
 * Links to machines that are found at run time: opened when first used, closed with the process.
 *
 * @module
 */
import type { Component } from "../lifecycle.ts";
import { Link, type LinkTarget } from "./link.ts";

/** What every link of a mesh shares. */
export type MeshParts = Omit<LinkTarget, "peer" | "address">;

export class Mesh implements Component {
  readonly name = "mesh";
  readonly #parts: MeshParts;
  readonly #port: number;
  readonly #links = new Map<string, Link>();
  #known: readonly string[] = [];

  /** All machines listen on the same port. */
  constructor(parts: MeshParts, port: number) {
    this.#parts = parts;
    this.#port = port;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.stop()));
    this.#links.clear();
  }

  /** The link to a machine, named by its IP address. */
  get(host: string): Link {
    let link = this.#links.get(host);
    if (link === undefined) {
      link = new Link({
        ...this.#parts,
        peer: host,
        address: `${host}:${this.#port}`,
      });
      this.#links.set(host, link);
      void link.start();
    }
    return link;
  }

  /** Machines that hold replicas, as far as is known. */
  keys(): Iterable<string> {
    return this.#known;
  }

  /** Replaces the machines that hold replicas, and closes links to others. */
  setKnown(hosts: readonly string[]): void {
    this.#known = hosts;
    for (const [host, link] of this.#links) {
      if (!hosts.includes(host)) {
        this.#links.delete(host);
        void link.stop();
      }
    }
  }
}
