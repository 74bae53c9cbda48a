/**
 * Connections and links on loopback addresses.
 *
 * @module
 */
import { Ok } from "@quetzalcove/core";
import type { ConnectionParts } from "../src/link/connection.ts";
import { LinkPool } from "../src/link/link_pool.ts";
import { type Component, Lifecycle } from "../src/lifecycle.ts";
import { ignore, QUIET_LOG } from "./scheduler_fixture.ts";

export const CONNECTION: ConnectionParts = {
  settings: {
    heartbeatMs: 500,
    idleMs: 1_500,
    maxMessageBytes: 65_536,
    maxQueuedBytes: 65_536,
  },
  now: () => performance.now(),
  count: ignore,
  handlers: new Map([["hello", () => Promise.resolve(Ok({}))]]),
};

/** The components of a test; stop them after it. */
export const lifecycle = new Lifecycle(ignore);

export async function start<T extends Component>(component: T): Promise<T> {
  await lifecycle.start(component);
  return component;
}

/** Links from a local address to peers that listen on a port. */
export function createPool(localHost: string, port: number): LinkPool {
  return new LinkPool({
    ...CONNECTION,
    localHost,
    hello: { cluster: "test", entry: localHost },
    log: QUIET_LOG,
  }, port);
}
