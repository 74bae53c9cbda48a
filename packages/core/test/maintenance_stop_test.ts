import {
  type Condition,
  decideMaintenance,
  type Observation,
} from "@quetzalcove/core";
import { describe, expect, test } from "vitest";
import { inventory, rules, World } from "./maintenance_simulation.ts";

const VM = "z0-r0-a";

function disabled(): World {
  return new World({ rules: rules({ enabled: false }) });
}

function want(world: World, out: boolean): void {
  world.propose({ kind: "vm.want", vm: VM, out, at: world.now });
}

function phase(world: World): string | undefined {
  return world.state.vms[VM]?.phase;
}

function withPool(pool: string): ReturnType<typeof inventory> {
  const all = inventory();
  const vms = all.vms.map((vm) => (vm.name === VM ? { ...vm, pool } : vm));
  return { ...all, vms };
}

/** Decides once on what the world shows, changed by a function. */
function rulesWith(
  world: World,
  change: (observation: Observation) => Partial<Observation>,
): string[] {
  const observation = world.observe();
  const changed = {
    ...observation,
    revisionInForce: world.state.revision,
    ...change(observation),
  };
  const { holds } = decideMaintenance(world.state, changed, { now: world.now });
  return holds.map((hold) => hold.rule);
}

describe("a planned stop", () => {
  test("waits for the view, for every count, for requests and for jobs", () => {
    const world = disabled();
    want(world, true);
    world.until(() => phase(world) === "draining");
    world.until(() => world.machine(VM).work.length === 0);
    const condition: Condition = {
      live: true,
      since: 0,
      slots: { a: 8 },
      inFlight: 0,
      tasks: 0,
      platformDrained: false,
    };
    const revision = world.state.vms[VM]?.revision ?? 0;
    const confirmed = new Map([[`drain/${revision}/${VM}`, "done" as const]]);
    const rule = (
      change: Partial<Condition>,
      other: Partial<Observation> = {},
    ): string[] =>
      rulesWith(world, ({ conditions }) => ({
        operations: confirmed,
        conditions: new Map(conditions).set(VM, { ...condition, ...change }),
        ...other,
      }));
    const observed = {
      view: rule({}, { revisionInForce: revision - 1 }),
      silent: rule({ live: false }),
      counts: rule({ inFlight: undefined }),
      requests: rule({ inFlight: 1 }),
      unconfirmed: rule({}, { operations: new Map() }),
      confirmed: rule({ tasks: 1 }),
    };
    delete world.state.inventory.vms.find(({ name }) => name === VM)?.agent;
    const withoutAgent = rule({ tasks: 1 }, { operations: new Map() });
    expect({ ...observed, withoutAgent }).toMatchInlineSnapshot(`
      {
        "confirmed": [
          "disabled",
        ],
        "counts": [
          "in_flight",
          "disabled",
        ],
        "requests": [
          "in_flight",
          "disabled",
        ],
        "silent": [
          "not_serving",
          "disabled",
        ],
        "unconfirmed": [
          "agent",
          "disabled",
        ],
        "view": [
          "view",
          "disabled",
        ],
        "withoutAgent": [
          "in_flight",
          "disabled",
        ],
      }
    `);
  });

  test("is put off, not forced, when work does not end in time, and is tried again later", () => {
    const world = new World({ rules: rules({ drainTimeoutMs: 60_000 }) });
    world.requestMs = 200_000;
    world.until(() => Object.keys(world.state.rollout.postponed).length > 0);
    expect([...world.machines.values()].every((m) => m.rebooted.size === 0))
      .toBe(true);
    world.requestMs = 1_000;
    world.until(() => world.isRoundDone());
  });

  test("is withdrawn when its service falls short", () => {
    const world = new World();
    world.need = 20;
    world.requestMs = 30_000;
    world.until(() => world.state.rollout.wave !== null);
    const [out = ""] = world.state.rollout.wave?.vms ?? [];
    world.need = 45;
    world.step();
    world.step();
    expect(world.state.vms[out]?.phase).toBe("serving");
  });

  test("moves a VM to another pool when it is idle", () => {
    const world = disabled();
    world.machine(VM).stopsTargets = true;
    world.configure(withPool("b"), world.state.rules);
    world.until(() =>
      world.state.vms[VM]?.pool === "b" && phase(world) === "serving"
    );
    expect(world.log.slice(-5)).toMatchInlineSnapshot(`
      [
        "z0-r0-a serving -> draining",
        "z0-r0-a draining -> drained",
        "z0-r0-a moves to b",
        "z0-r0-a drained -> returning",
        "z0-r0-a returning -> serving",
      ]
    `);
  });

  test("moves a VM at once although the operator changed the pool and changed it back", () => {
    const world = disabled();
    world.requestMs = 5_000;
    world.step();
    world.step();
    for (const pool of ["b", "a", "b"]) {
      world.configure(withPool(pool), world.state.rules);
      world.until(() => phase(world) !== "serving" || pool === "a", {
        steps: 10,
      });
      world.step();
      world.step();
    }
    world.until(() => world.state.vms[VM]?.pool === "b", { steps: 30 });
  });

  test("removes a VM only when it is idle, and keeps it while its service needs it", () => {
    const rest = inventory();
    const without = { ...rest, vms: rest.vms.filter((vm) => vm.name !== VM) };
    const [busy, quiet] = [30, 20].map((need) => {
      const world = disabled();
      world.need = need;
      world.configure(without, world.state.rules);
      for (let i = 0; i < 60; i++) {
        world.step();
      }
      return world;
    });
    expect(busy?.state.vms[VM]?.phase).toBe("serving");
    expect(busy?.last.holds).toContainEqual(
      expect.objectContaining({ rule: "capacity", vm: VM, limit: 30 }),
    );
    expect(quiet?.state.vms[VM]).toBeUndefined();
    expect(quiet?.state.removed[VM]).toBe(quiet?.state.revision);
  });

  test("gives a VM back when the operator no longer wants it out", () => {
    const world = disabled();
    want(world, true);
    world.until(() => phase(world) === "drained");
    for (let i = 0; i < 900; i++) {
      world.step();
    }
    expect(phase(world)).toBe("drained");
    want(world, false);
    world.until(() => phase(world) === "serving", { steps: 5 });
  });
});

describe("health", () => {
  test("a VM that flaps has to answer longer each time", () => {
    const world = disabled();
    const waits: number[] = [];
    for (let i = 0; i < 4; i++) {
      world.fail(VM, 15_000);
      world.until(() => phase(world) === "failed");
      world.until(() => world.isLive(VM));
      const from = world.now;
      world.until(() => phase(world) === "serving");
      waits.push(Math.round((world.now - from) / 1_000));
    }
    expect(waits).toMatchInlineSnapshot(`
      [
        6,
        11,
        21,
        41,
      ]
    `);
  });

  test("no VM is marked as failed when most are silent at once", () => {
    const world = disabled();
    for (const vm of world.machines.keys()) {
      world.fail(vm, 60_000);
    }
    for (let i = 0; i < 50; i++) {
      world.step();
    }
    expect(world.log.filter((line) => line.endsWith("failed"))).toEqual([]);
    expect(world.last.holds).toContainEqual(
      expect.objectContaining({ rule: "observer", figure: 12, limit: 6 }),
    );
  });
});
