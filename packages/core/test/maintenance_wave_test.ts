import { describe, expect, test } from "vitest";
import { HOUR_MS, inventory, rules, World } from "./maintenance_simulation.ts";

function waves(world: World): string[] {
  return world.log.filter((line) => /^(wave|round)/.test(line));
}

function holdOf(world: World, rule: string): unknown {
  return world.last.holds.find((hold) => hold.rule === rule);
}

/** Steps until a wave that is not the canary is out. */
function untilWideWave(world: World): string[] {
  world.until(() => {
    const { wave } = world.state.rollout;
    return wave !== null && !wave.canary && wave.vms.length > 1;
  });
  return world.state.rollout.wave?.vms ?? [];
}

describe("a round", () => {
  test("takes a canary, then waves of one zone, and every VM once", () => {
    const world = new World();
    world.until(() => world.isRoundDone());
    expect(waves(world)).toMatchInlineSnapshot(`
      [
        "round 1",
        "wave 1 in z0: z0-r0-a",
        "wave 1 passed",
        "wave 2 in z0: z0-r0-b, z0-r1-a",
        "wave 2 passed",
        "wave 3 in z1: z1-r0-a, z1-r0-b",
        "wave 3 passed",
        "wave 4 in z1: z1-r1-a, z1-r1-b",
        "wave 4 passed",
        "wave 5 in z2: z2-r0-a, z2-r0-b",
        "wave 5 passed",
        "wave 6 in z2: z2-r1-a, z2-r1-b",
        "wave 6 passed",
        "wave 7 in z0: z0-r1-b",
        "wave 7 passed",
      ]
    `);
  });

  test("goes on midway under a new leader that knows the replicated state alone", () => {
    const alone = new World();
    alone.until(() => alone.isRoundDone());
    const changed = new World();
    for (let i = 0; !changed.isRoundDone() && i < 20_000; i++) {
      changed.step();
      changed.changeLeader();
    }
    expect(changed.log).toEqual(alone.log);
  });

  test("passes every wave when the platform stops the targets of a drained VM", () => {
    const world = new World();
    world.machines.forEach((machine) => machine.stopsTargets = true);
    world.until(() => world.isRoundDone());
    expect(world.log.filter((line) => /failed|stopped/.test(line))).toEqual([]);
  });

  test("asks again under the same operation when an answer is lost", () => {
    const world = new World();
    let calls = 0;
    world.random = () => ++calls * 0.618_034 % 1;
    world.lossShare = 0.5;
    world.until(() => world.isRoundDone());
    const reboots = [...world.machines.values()].map((m) => m.rebooted.size);
    expect(new Set(reboots)).toEqual(new Set([1]));
  });

  test("starts again when the operator raises the round number, not before the next is due", () => {
    const world = new World();
    world.until(() => world.isRoundDone());
    for (let i = 0; i < 600; i++) {
      world.step();
    }
    expect(world.state.rollout.round).toBe(1);
    world.configure(inventory(), rules({ round: 1 }));
    world.until(() => world.state.rollout.round === 2);
    world.until(() => world.isRoundDone());
    for (let i = 0; i < 600; i++) {
      world.step();
    }
    expect(world.state.rollout.round).toBe(2);
  });

  test("comes back to every VM within the period, also when faults delay it", () => {
    const periodMs = 4 * HOUR_MS;
    const world = new World({ rules: rules({ periodMs }) });
    const last = new Map<string, number>();
    const gaps: number[] = [];
    for (let i = 0; i < 20 * 720; i++) {
      if (i % 1_440 === 100) {
        world.fail("z1-r0-a", 600_000);
      }
      world.step(5_000);
      for (const vm of Object.values(world.state.vms)) {
        const known = last.get(vm.name) ?? 0;
        if (known > 0 && vm.maintainedAt > known) {
          gaps.push(vm.maintainedAt - known);
        }
        last.set(vm.name, vm.maintainedAt);
      }
    }
    expect(gaps.length).toBe(12 * 6);
    expect(Math.max(...gaps)).toBeLessThanOrEqual(periodMs);
  });

  test("runs only inside a window that is long enough for a wave", () => {
    const hours = { drainTimeoutMs: 600_000, rebootTimeoutMs: 900_000 };
    const windows = [{ from: "01:00", to: "01:30" }];
    const world = new World({ rules: rules({ ...hours, windows }) });
    const starts = new Set<string>();
    for (let i = 0; i < 2 * 3_600; i++) {
      if (world.step().commands.some((c) => c.kind === "wave.start")) {
        starts.add(new Date(world.now).toISOString().slice(11, 16));
      }
    }
    const early = [...starts].filter((at) => at >= "01:00" && at <= "01:05");
    expect(early.length).toBeGreaterThan(0);
    expect([...starts]).toEqual(early);
    expect(holdOf(world, "window")).toMatchObject({ figure: 0 });
  });
});

describe("a wave", () => {
  test("takes the VM with the least work first when moves weigh most", () => {
    const canary = [0, 5].map((moves) => {
      const world = new World({ rules: rules({ weights: { moves } }) });
      world.until(() => world.state.rollout.round === 1);
      for (const [name, machine] of world.machines) {
        machine.work = [world.now + HOUR_MS, world.now + HOUR_MS];
        const vm = world.state.vms[name];
        const due = name.startsWith("z0") && name !== "z0-r0-a";
        if (vm !== undefined && !due) {
          vm.maintainedAt = world.now;
        }
      }
      world.machine("z0-r1-a").work = [];
      world.until(() => world.state.rollout.wave !== null);
      return world.state.rollout.wave?.vms;
    });
    expect(canary).toEqual([["z0-r0-b"], ["z0-r1-a"]]);
  });

  test("is not started when the worst further loss would leave too little, and says so", () => {
    const world = new World();
    world.need = 25;
    for (let i = 0; i < 100; i++) {
      world.step();
    }
    expect(waves(world)).toEqual(["round 1"]);
    expect(holdOf(world, "capacity")).toMatchInlineSnapshot(`
      {
        "domain": "z0",
        "figure": 24,
        "limit": 25,
        "message": "Without VM "z0-r0-a", and after a loss of "z1", service "a" would keep 24 slots and needs 25.0",
        "rule": "capacity",
        "service": "a",
        "vm": "z0-r0-a",
      }
    `);
  });

  test("may leave need unserved within the risk share, but never without a further loss", () => {
    const cases = [[0, 26], [0.1, 26], [0.5, 26], [1, 35]] as const;
    const widest = cases.map(([riskShare, need]) => {
      const weights = { rollout: 9 };
      const world = new World({ rules: rules({ riskShare, weights }) });
      world.need = need;
      let width = 0;
      for (let i = 0; i < 1_800; i++) {
        world.step();
        width = Math.max(width, world.state.rollout.wave?.vms.length ?? 0);
      }
      return width;
    });
    expect(widest).toEqual([0, 2, 4, 2]);
  });

  test("stops when its canary does not return, tries one more, then waits for health", () => {
    const world = new World({ rules: rules({ bakeMs: 60_000 }) });
    for (const machine of world.machines.values()) {
      machine.stuck = true;
    }
    world.until(() => world.state.rollout.stops === 2);
    const started = world.state.rollout.lastWave;
    for (let i = 0; i < 1_800; i++) {
      world.step();
    }
    expect(world.state.rollout.lastWave).toBe(started);
    expect(holdOf(world, "paused")).toMatchObject({ figure: 2, limit: 0 });
    for (const machine of world.machines.values()) {
      machine.stuck = false;
    }
    world.until(() => world.isRoundDone());
    expect(waves(world).slice(0, 6)).toMatchInlineSnapshot(`
      [
        "round 1",
        "wave 1 in z0: z0-r0-a",
        "wave 1 stopped",
        "wave 2 in z0: z0-r0-b",
        "wave 2 stopped",
        "wave.resume",
      ]
    `);
  });

  test("stops when two of its VMs fail, and reboots none of the others", () => {
    const world = new World();
    world.need = 0;
    world.requestMs = 20_000;
    const vms = untilWideWave(world);
    const [first = "", second = "", ...others] = vms;
    world.fail(first, HOUR_MS);
    world.fail(second, HOUR_MS);
    world.until(() => world.state.rollout.wave === null);
    expect(world.log.at(-1)).toMatch(/stopped$/);
    const rebooted = others.filter((vm) => world.machine(vm).rebooted.size > 0);
    expect(others.length).toBeGreaterThan(0);
    expect(rebooted).toEqual([]);
  });

  test("waits when a zone is lost midway and ends the round when it is back", () => {
    const world = new World();
    untilWideWave(world);
    const zone = world.state.rollout.wave?.domain === "z2" ? "z1" : "z2";
    for (const vm of world.machines.keys()) {
      if (vm.startsWith(zone)) {
        world.fail(vm, HOUR_MS);
      }
    }
    const from = world.now;
    world.until(() => world.state.rollout.wave === null);
    const known = world.state.rollout.lastWave;
    world.until(() => world.now - from >= HOUR_MS - 10_000);
    expect(world.state.rollout.lastWave).toBe(known);
    world.until(() => world.isRoundDone());
  });

  test("waits again when a second VM is lost right after a repair", () => {
    const world = new World();
    world.until(() => world.state.rollout.passed >= 1);
    world.need = 16;
    world.fail("z0-r0-a", 120_000);
    world.until(() => world.state.vms["z0-r0-a"]?.phase === "failed");
    world.until(() => world.state.vms["z0-r0-a"]?.phase === "serving");
    world.fail("z1-r0-a", 600_000);
    world.until(() => world.state.vms["z1-r0-a"]?.phase === "failed");
    world.until(() => world.isRoundDone());
    expect(Object.values(world.state.vms).every((vm) => vm.maintainedAt > 0))
      .toBe(true);
  });

  test("keeps a VM out while an order to reboot it may still be on its way", () => {
    const world = new World();
    const vm = "z0-r0-a";
    world.machine(vm).orderMs = 20 * 60_000;
    world.until(() => world.state.vms[vm]?.phase === "failed");
    world.until(() => world.state.vms[vm]?.phase === "serving");
    expect(world.machine(vm).rebooted.size).toBe(1);
    world.machine(vm).orderMs = 0;
    world.until(() => world.isRoundDone());
    expect(world.machine(vm).rebooted.size).toBe(1);
  });

  test("reports a reboot that the agent refuses and tries it under a new operation", () => {
    const world = new World();
    const vm = "z0-r0-a";
    world.machine(vm).refuses = true;
    world.until(() => world.state.rollout.refused[vm]?.count === 1);
    world.machine(vm).refuses = false;
    world.until(() => world.isRoundDone());
    expect([...world.machine(vm).requested.keys()].map((id) => id.at(-1)))
      .toEqual(["0", "1"]);
  });
});
