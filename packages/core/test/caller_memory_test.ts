import { expect, it } from "vitest";
import {
  type CallerAccount,
  callerLimitBytes,
  CallerMemory,
  CONNECTION_BYTES,
  REQUEST_BYTES,
} from "../src/callers/mod.ts";

const LIMIT = 10 * CONNECTION_BYTES;

/** Opens an account whose connection is closed on demand, which `closed` records. */
function openAccount(
  memory: CallerMemory,
  name: string,
  closed: string[],
): CallerAccount {
  const account = memory.open(() => {
    closed.push(name);
    account.close(0);
  }, 0);
  return account;
}

// Guards against a crowd of stalled bodies that leaves no room for callers whose requests arrive without delay.
it("closes the connections that hold most for the longest time, and lets new ones in", () => {
  const memory = new CallerMemory(LIMIT);
  const closed: string[] = [];
  openAccount(memory, "old and small", closed).hold(8_000, 0);
  openAccount(memory, "old and large", closed).hold(60_000, 0);
  openAccount(memory, "new and large", closed).hold(30_000, 9_990);
  const newest = openAccount(memory, "newest", closed);
  newest.hold(100, 10_000);
  expect(closed).toEqual([]);
  newest.hold(2_000, 10_000);
  expect(closed).toEqual(["old and large"]);
  expect(memory.heldBytes).toBe(
    3 * CONNECTION_BYTES + 8_000 + 30_000 + 2_100,
  );
});

// Guards against idle connections that are closed although others hold more.
it("closes idle connections only if nothing else is held, the oldest first", () => {
  const memory = new CallerMemory(2.5 * CONNECTION_BYTES);
  const closed: string[] = [];
  const first = openAccount(memory, "first", closed);
  openAccount(memory, "second", closed);
  first.touch(5);
  const holding = openAccount(memory, "holding", closed);
  holding.hold(CONNECTION_BYTES, 10);
  expect(closed).toEqual(["holding", "second"]);
});

// Guards against links between daemons that are closed because callers take the memory.
it("keeps protected connections, and counts what they hold", () => {
  const memory = new CallerMemory(LIMIT);
  const closed: string[] = [];
  const link = openAccount(memory, "link", closed);
  link.protect();
  link.hold(2 * LIMIT, 0);
  openAccount(memory, "caller", closed).hold(1, 9);
  expect(closed).toEqual(["caller"]);
  expect(memory.heldBytes).toBe(CONNECTION_BYTES + 2 * LIMIT);
});

// Guards against memory that counts as free while handlers of closed connections still use it.
it("counts requests in progress until they end, also those of a closed connection", () => {
  const memory = new CallerMemory(LIMIT);
  const account = memory.open(() => {}, 0);
  const unpin = account.pin(LIMIT);
  account.close(0);
  expect(memory.heldBytes).toBe(LIMIT);
  expect(memory.hasRoom(1, 0)).toBe(false);
  unpin();
  expect(memory.heldBytes).toBe(0);
});

// Guards against a process on a small machine that refuses the only request there is.
it("has room for any request if no other is in progress", () => {
  const memory = new CallerMemory(1_000);
  const account = memory.open(() => {}, 0);
  expect(memory.hasRoom(REQUEST_BYTES, 0)).toBe(true);
  const unpin = account.pin(REQUEST_BYTES);
  expect(memory.hasRoom(1_000_000, 0)).toBe(true);
  account.pin(1_000_000);
  expect(memory.hasRoom(1, 0)).toBe(false);
  unpin();
});

it("is limited by the heap, by what the machine has beside it, and from below", () => {
  const limits = [
    { machineBytes: 16e9, heapBytes: 4e9 },
    { machineBytes: 350e6, heapBytes: 160e6 },
    { machineBytes: 346e6, heapBytes: 260e6 },
    { machineBytes: 250e6, heapBytes: 220e6 },
  ].map(callerLimitBytes);
  expect(limits).toMatchInlineSnapshot(`
    [
      1000000000,
      40000000,
      26000000,
      8000000,
    ]
  `);
});
