import { afterEach, expect, it } from "vitest";
import { Ok } from "@quetzalcove/core";
import { LinkServer } from "../src/link/server.ts";
import { ReplicaDiscovery } from "../src/scheduler/replica_discovery.ts";
import { wait } from "../src/waiting.ts";
import { CONNECTION, createPool, lifecycle, start } from "./link_fixture.ts";
import { QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

const PORT = 7060;
const REPLICAS = ["127.61.40.1", "127.61.40.2", "127.61.40.3"];

/** Interval of the load balancer's readiness checks. */
const READINESS_INTERVAL_MS = 1_000;

afterEach(() => lifecycle.stop());

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
  const pool = await start(createPool("127.61.40.9", PORT));
  const discovery = await start(
    new ReplicaDiscovery(pool, REPLICAS, TEST_CLOCK, QUIET_LOG),
  );
  await wait(READINESS_INTERVAL_MS);
  expect(discovery.isConnected).toBe(true);
});
