import { afterEach, expect, it } from "vitest";
import { Ok } from "@quetzalcove/core";
import { type Component, Lifecycle } from "../src/lifecycle.ts";
import { LinkPool } from "../src/link/link_pool.ts";
import { LinkServer } from "../src/link/server.ts";
import { ReplicaDiscovery } from "../src/scheduler/replica_discovery.ts";
import { wait } from "../src/waiting.ts";
import { ignore, QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

const PORT = 7060;
const REPLICAS = ["127.61.40.1", "127.61.40.2", "127.61.40.3"];

/** Interval of the load balancer's readiness checks. */
const READINESS_INTERVAL_MS = 1_000;

const CONNECTION = {
  settings: {
    heartbeatMs: 500,
    idleMs: 1_500,
    maxMessageBytes: 65_536,
    maxQueuedBytes: 65_536,
  },
  now: () => performance.now(),
  count: ignore,
};

const lifecycle = new Lifecycle(ignore);

afterEach(() => lifecycle.stop());

async function start<T extends Component>(component: T): Promise<T> {
  await lifecycle.start(component);
  return component;
}

it("reaches the group before the next readiness check, although no link is open at the start", async () => {
  const handlers = new Map([
    ["hello", () => Promise.resolve(Ok({}))],
    [
      "describe_group",
      () => Promise.resolve(Ok({ hosts: REPLICAS, leader: REPLICAS[0] })),
    ],
  ]);
  for (const host of REPLICAS) {
    const address = `${host}:${PORT}`;
    await start(new LinkServer({ ...CONNECTION, address, handlers }));
  }
  const pool = await start(
    new LinkPool({
      ...CONNECTION,
      handlers: new Map(),
      localHost: "127.61.40.9",
      hello: { cluster: "test", entry: "127.61.40.9" },
      log: QUIET_LOG,
    }, PORT),
  );
  const discovery = await start(
    new ReplicaDiscovery(pool, REPLICAS, TEST_CLOCK, QUIET_LOG),
  );
  await wait(READINESS_INTERVAL_MS);
  expect(discovery.isConnected).toBe(true);
});
