import { afterEach, expect, it } from "vitest";
import { LinkServer } from "../src/link/server.ts";
import { wait } from "../src/waiting.ts";
import { CONNECTION, createPool, lifecycle, start } from "./link_fixture.ts";

const PORT = 7061;
const PEER = "127.61.41.1";
const LOCAL_HOST = "127.61.41.9";

afterEach(() => lifecycle.stop());

// Guards against an election that waits for the next attempts to connect, although the peers are back.
it("opens a link at once when the peer is known to be back", async () => {
  const pool = await start(createPool(LOCAL_HOST, PORT));
  const link = pool.get(PEER);
  await wait(20);
  await start(new LinkServer({ ...CONNECTION, address: `${PEER}:${PORT}` }));
  pool.reconnect(PEER);
  await wait(50);
  expect(link.isOpen).toBe(true);
});

it("stays closed when it was stopped before the peer came back", async () => {
  const pool = await start(createPool(LOCAL_HOST, PORT));
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
  const pool = await start(createPool(LOCAL_HOST, PORT));
  const link = pool.get(PEER);
  await wait(300);
  await start(new LinkServer({ ...CONNECTION, address: `${PEER}:${PORT}` }));
  await wait(100);
  expect(link.isOpen).toBe(true);
});
