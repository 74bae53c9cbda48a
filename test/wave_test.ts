import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { Fleet, Run } from "@quetzalcove/emulator";
import { callAdmin } from "@quetzalcove/emulator";
import { Inventory } from "@quetzalcove/core";
import { Cluster, networkPrefix, TARGET_PORT } from "./harness/cluster.ts";
import {
  call,
  type ReceivedAnswer,
  testFleet,
  testInventory,
  testRules,
} from "./harness/services.ts";

const VMS = 8;

describe("a maintenance round", () => {
  const baseInventory = testInventory(VMS);
  const inventory = Inventory.parse({
    ...baseInventory,
    vms: baseInventory.vms.map((vm, index) => ({
      ...vm,
      agent: `${networkPrefix("targets")}.251.${index + 1}:${
        TARGET_PORT + 100
      }`,
    })),
  });
  const rules = testRules({ budget: { unservedShare: 0.05 } });
  rules.maintenance = {
    ...rules.maintenance,
    enabled: true,
    bakeMs: 500,
    survives: "vm",
    domain: "rack",
  };
  const cluster = new Cluster({ entries: 4, replicas: 3 });
  const runs: Run[] = [];
  const answers: (ReceivedAnswer | undefined)[] = [];
  let fleet: Fleet;

  beforeAll(async () => {
    await cluster.start();
    await cluster.configure("e4", {
      change: "first",
      base: 0,
      inventory,
      rules,
    });
    fleet = testFleet({ inventory, rules }, cluster.services(), runs);
    await fleet.start();
    await cluster.waitFor("targets", async () => {
      return (await cluster.status("e4"))?.counts.targets === VMS;
    });
    await cluster.waitFor("e4 to serve", async () => {
      const entry = cluster.service("e4");
      return (await call({ entry, service: "intake", path: "/ready" }))
        ?.status === 200;
    });
  });

  afterAll(async () => {
    await fleet.stop();
    await cluster.stop();
  });

  it("reboots every VM once and interrupts no request, including when the leader is killed during a wave", async () => {
    let stopped = false;
    const poolsByVm = new Map<string, Set<string>>();
    const caller = async (number: number): Promise<void> => {
      for (let index = 0; !stopped; index++) {
        const service = index % 2 === 0 ? "intake" : "charts";
        const entry = cluster.service("e4");
        const options = { entry, service, path: `/load/${number}/${index}` };
        answers.push(await call({ ...options, emulate: { runMs: 100 } }));
      }
    };
    const recordPools = async (): Promise<void> => {
      while (!stopped) {
        for (const vm of await cluster.vms("e4")) {
          poolsByVm.set(
            vm.name,
            (poolsByVm.get(vm.name) ?? new Set()).add(vm.pool),
          );
        }
      }
    };
    const tasks = [
      recordPools(),
      ...Array.from({ length: 4 }, (_, number) => caller(number)),
    ];
    await cluster.waitFor("the first wave", async () => {
      const waves = await callAdmin<{ waves: unknown[] }>(
        cluster.admin("e4"),
        "/v1/waves",
      );
      return (waves?.value.waves?.length ?? 0) > 0;
    });
    const leader = await cluster.leader(["e4"]);
    await cluster.kill(leader);
    cluster.startDaemon(leader);
    await cluster.waitFor("maintenance of every VM", async () => {
      const vms = await cluster.vms("e4");
      return vms.length === VMS &&
        vms.every((vm) => vm.maintainedAt > 0 && vm.phase === "serving");
    });
    stopped = true;
    await Promise.all(tasks);
    expect(inventory.vms.map((vm) => fleet.rebootsOf(vm.name))).toEqual(
      Array(VMS).fill(1),
    );
    expect(answers.length).toBeGreaterThan(0);
    expect(
      answers.filter((one) =>
        one?.outcome !== "done" && one?.outcome !== "not run"
      ),
    ).toEqual([]);
    expect(answers.filter((one) => one?.outcome === "done" && !one.own))
      .toEqual(
        [],
      );
    expect([...poolsByVm.values()].every((pool) => pool.size === 1)).toBe(true);
  });
});
