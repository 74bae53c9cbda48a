import { afterEach, expect, it } from "vitest";
import { Ok } from "@quetzalcove/core";
import { type Component, Lifecycle } from "../src/lifecycle.ts";
import { LinkPool } from "../src/link/link_pool.ts";
import { LinkServer } from "../src/link/server.ts";
import { wait } from "../src/waiting.ts";
import { ignore, QUIET_LOG } from "./scheduler_fixture.ts";

const PORT = 7061;
const PEER = "127.61.41.1";

const CONNECTION = {
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

const lifecycle = new Lifecycle(ignore);

afterEach(() => lifecycle.stop());

async function start<T extends Component>(component: T): Promise<T> {
  await lifecycle.start(component);
  return component;
}

function createPool(): LinkPool {
  return new LinkPool({
    ...CONNECTION,
    localHost: "127.61.41.9",
    hello: { cluster: "test", entry: "127.61.41.9" },
    log: QUIET_LOG,
  }, PORT);
}

// Guards against an election that waits for the next attempts to connect, although the peers are back.
it("opens a link at once when the peer is known to be back", async () => {
  const pool = await start(createPool());
  const link = pool.get(PEER);
  await wait(20);
  await start(new LinkServer({ ...CONNECTION, address: `${PEER}:${PORT}` }));
  pool.reconnect(PEER);
  await wait(50);
  expect(link.isOpen).toBe(true);
});

it("stays closed when it was stopped before the peer came back", async () => {
  const pool = await start(createPool());
  const link = pool.get(PEER);
  await wait(20);
  await start(new LinkServer({ ...CONNECTION, address: `${PEER}:${PORT}` }));
  await link.stop();
  pool.reconnect(PEER);
  await wait(50);
  expect(link.isOpen).toBe(false);
});

// Guards against callers that wait for an entry's next attempt to connect when the replicas are back.
it("finds a peer that restarts within a tenth of a second", async () => {
  const pool = await start(createPool());
  const link = pool.get(PEER);
  await wait(300);
  await start(new LinkServer({ ...CONNECTION, address: `${PEER}:${PORT}` }));
  await wait(100);
  expect(link.isOpen).toBe(true);
});
