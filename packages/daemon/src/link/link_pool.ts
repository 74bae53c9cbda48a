/**
 * Links to hosts that are discovered at run time: opened on first use, closed when the process stops.
 *
 * @module
 */
import type { Component } from "../lifecycle.ts";
import { Link, type LinkParts } from "./link.ts";

/** Dependencies shared by all links of a pool. */
export type LinkPoolParts = Omit<LinkParts, "peer" | "address">;

export class LinkPool implements Component {
  readonly name = "mesh";
  readonly #parts: LinkPoolParts;
  readonly #port: number;
  readonly #links = new Map<string, Link>();
  #knownHosts: readonly string[] = [];

  /** All hosts listen on the same port. */
  constructor(parts: LinkPoolParts, port: number) {
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

  /** Returns the link to a host, given by its IP address. */
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

  /**
   * Reconnects at once to a host that has just connected to this one, if there is a link to it. After a loss of power hosts
   * come back one by one, and an election would wait for the next attempts to connect.
   */
  reconnect(host: string): void {
    this.#links.get(host)?.reconnect();
  }

  /** IP addresses of the known hosts of replicas. */
  keys(): Iterable<string> {
    return this.#knownHosts;
  }

  /**
   * Replaces the known hosts of replicas: opens links to them, since a message on a link that is not open yet is lost, and
   * closes the links to all other hosts.
   */
  setKnownHosts(hosts: readonly string[]): void {
    this.#knownHosts = hosts;
    hosts.forEach((host) => this.get(host));
    for (const [host, link] of this.#links) {
      if (!hosts.includes(host)) {
        this.#links.delete(host);
        void link.stop();
      }
    }
  }
}
