import { expect, it } from "vitest";
import {
  apply,
  emptyState,
  Inventory,
  Rules,
  Settings,
} from "@quetzalcove/core";
import { LeaderTermState, Observer, PlatformAgentClient } from "../src/mod.ts";

const STARTED_AT = 1_000;
const ADDED_AT = 60_000;

it("dates the silence of a VM from the time it was added, not from the start of the leadership term", () => {
  const state = emptyState();
  const inventory = Inventory.parse({
    zones: [{ name: "zone-a", region: "region" }],
    racks: [{ name: "rack-1", zone: "zone-a" }],
    pools: [{ name: "intake" }],
    vms: [{
      name: "vm-1",
      rack: "rack-1",
      pool: "intake",
      cores: 32,
      memoryGb: 128,
    }],
  });
  const rules = Rules.parse({});
  apply(state, {
    kind: "configure",
    change: "first",
    base: 0,
    inventory,
    rules,
    at: ADDED_AT,
  });
  const settings = Settings.parse({
    cluster: "test",
    entry: "e1",
    zone: "zone-a",
    listen: {
      service: "127.0.0.1:1",
      admin: "127.0.0.1:2",
      link: "127.0.0.1:3",
    },
  });
  const ignore = (): void => {};
  const log = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const observation = new Observer(STARTED_AT).observe(
    state,
    new LeaderTermState(settings, 1, 0),
    new PlatformAgentClient(log),
    { now: ADDED_AT + 500, at: ADDED_AT + 500 },
  );
  expect(observation.conditions.get("vm-1")).toMatchObject({
    live: false,
    observed: false,
    since: ADDED_AT,
  });
});
