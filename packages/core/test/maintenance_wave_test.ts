import { describe, expect, test } from "vitest";
import {
  defaultInventory,
  defaultRules,
  FleetSimulation,
  HOUR_MS,
} from "./maintenance_simulation.ts";

function roundAndWaveLog(simulation: FleetSimulation): string[] {
  return simulation.log.filter((line) => /^(wave|round)/.test(line));
}

function holdOf(simulation: FleetSimulation, rule: string): unknown {
  return simulation.lastDecision.holds.find((hold) => hold.rule === rule);
}

/** Steps until a wave of several VMs that is no canary is in progress. */
function untilWideWave(simulation: FleetSimulation): string[] {
  simulation.until(() => {
    const { wave } = simulation.state.rollout;
    return wave !== null && !wave.canary && wave.vms.length > 1;
  });
  return simulation.state.rollout.wave?.vms ?? [];
}

describe("a round", () => {
  test("starts with a canary, continues with waves inside one zone, and maintains every VM once", () => {
    const simulation = new FleetSimulation();
    simulation.until(() => simulation.isRoundDone());
    expect(roundAndWaveLog(simulation)).toMatchInlineSnapshot(`
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

  test("continues under a new leader that has only the replicated state", () => {
    const reference = new FleetSimulation();
    reference.until(() => reference.isRoundDone());
    const withNewLeaders = new FleetSimulation();
    for (let i = 0; !withNewLeaders.isRoundDone() && i < 20_000; i++) {
      withNewLeaders.step();
      withNewLeaders.changeLeader();
    }
    expect(withNewLeaders.log).toEqual(reference.log);
  });

  test("passes every wave when the platform stops the targets of a drained VM", () => {
    const simulation = new FleetSimulation();
    simulation.vms.forEach((simulatedVm) => simulatedVm.stopsTargets = true);
    simulation.until(() => simulation.isRoundDone());
    expect(simulation.log.filter((line) => /failed|stopped/.test(line)))
      .toEqual([]);
  });

  test("retries a call under the same operation id when an answer is lost", () => {
    const simulation = new FleetSimulation();
    let draws = 0;
    simulation.random = () => ++draws * 0.618_034 % 1;
    simulation.lossShare = 0.5;
    simulation.until(() => simulation.isRoundDone());
    const reboots = [...simulation.vms.values()].map((m) => m.rebooted.size);
    expect(new Set(reboots)).toEqual(new Set([1]));
  });

  test("starts when the operator raises the round number, otherwise not before it is due", () => {
    const simulation = new FleetSimulation();
    simulation.until(() => simulation.isRoundDone());
    for (let i = 0; i < 600; i++) {
      simulation.step();
    }
    expect(simulation.state.rollout.round).toBe(1);
    simulation.configure(defaultInventory(), defaultRules({ round: 1 }));
    simulation.until(() => simulation.state.rollout.round === 2);
    simulation.until(() => simulation.isRoundDone());
    for (let i = 0; i < 600; i++) {
      simulation.step();
    }
    expect(simulation.state.rollout.round).toBe(2);
  });

  test("maintains every VM within the period, even when faults delay it", () => {
    const periodMs = 4 * HOUR_MS;
    const simulation = new FleetSimulation({
      rules: defaultRules({ periodMs }),
    });
    const last = new Map<string, number>();
    const gaps: number[] = [];
    for (let i = 0; i < 20 * 720; i++) {
      if (i % 1_440 === 100) {
        simulation.fail("z1-r0-a", 600_000);
      }
      simulation.step(5_000);
      for (const vm of Object.values(simulation.state.vms)) {
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
    const simulation = new FleetSimulation({
      rules: defaultRules({ ...hours, windows }),
    });
    const starts = new Set<string>();
    for (let i = 0; i < 2 * 3_600; i++) {
      if (simulation.step().commands.some((c) => c.kind === "wave.start")) {
        starts.add(new Date(simulation.now).toISOString().slice(11, 16));
      }
    }
    const early = [...starts].filter((at) => at >= "01:00" && at <= "01:05");
    expect(early.length).toBeGreaterThan(0);
    expect([...starts]).toEqual(early);
    expect(holdOf(simulation, "window")).toMatchObject({ figure: 0 });
  });
});

describe("a wave", () => {
  test("takes the VM with the least work first when moves have the highest weight", () => {
    const canary = [0, 5].map((moves) => {
      const simulation = new FleetSimulation({
        rules: defaultRules({ weights: { moves } }),
      });
      simulation.until(() => simulation.state.rollout.round === 1);
      for (const [name, simulatedVm] of simulation.vms) {
        simulatedVm.requestEnds = [
          simulation.now + HOUR_MS,
          simulation.now + HOUR_MS,
        ];
        const vm = simulation.state.vms[name];
        const due = name.startsWith("z0") && name !== "z0-r0-a";
        if (vm !== undefined && !due) {
          vm.maintainedAt = simulation.now;
        }
      }
      simulation.vm("z0-r1-a").requestEnds = [];
      simulation.until(() => simulation.state.rollout.wave !== null);
      return simulation.state.rollout.wave?.vms;
    });
    expect(canary).toEqual([["z0-r0-b"], ["z0-r1-a"]]);
  });

  test("does not start, and reports a hold, when the worst further loss would leave too little capacity", () => {
    const simulation = new FleetSimulation();
    simulation.demand = 25;
    for (let i = 0; i < 100; i++) {
      simulation.step();
    }
    expect(roundAndWaveLog(simulation)).toEqual(["round 1"]);
    expect(holdOf(simulation, "capacity")).toMatchInlineSnapshot(`
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

  test("may leave demand unserved within the risk share, but never without a further loss", () => {
    const cases = [[0, 26], [0.1, 26], [0.5, 26], [1, 35]] as const;
    const widest = cases.map(([riskShare, demand]) => {
      const weights = { rollout: 9 };
      const simulation = new FleetSimulation({
        rules: defaultRules({ riskShare, weights }),
      });
      simulation.demand = demand;
      let width = 0;
      for (let i = 0; i < 1_800; i++) {
        simulation.step();
        width = Math.max(width, simulation.state.rollout.wave?.vms.length ?? 0);
      }
      return width;
    });
    expect(widest).toEqual([0, 2, 4, 2]);
  });

  test("stops when the canary does not return, starts one more canary, then waits for health", () => {
    const simulation = new FleetSimulation({
      rules: defaultRules({ bakeMs: 60_000 }),
    });
    for (const simulatedVm of simulation.vms.values()) {
      simulatedVm.staysDown = true;
    }
    simulation.until(() => simulation.state.rollout.stops === 2);
    const started = simulation.state.rollout.lastWave;
    for (let i = 0; i < 1_800; i++) {
      simulation.step();
    }
    expect(simulation.state.rollout.lastWave).toBe(started);
    expect(holdOf(simulation, "paused")).toMatchObject({ figure: 2, limit: 0 });
    for (const simulatedVm of simulation.vms.values()) {
      simulatedVm.staysDown = false;
    }
    simulation.until(() => simulation.isRoundDone());
    expect(roundAndWaveLog(simulation).slice(0, 6)).toMatchInlineSnapshot(`
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
    const simulation = new FleetSimulation();
    simulation.demand = 0;
    simulation.requestMs = 20_000;
    const vms = untilWideWave(simulation);
    const [first = "", second = "", ...others] = vms;
    simulation.fail(first, HOUR_MS);
    simulation.fail(second, HOUR_MS);
    simulation.until(() => simulation.state.rollout.wave === null);
    expect(simulation.log.at(-1)).toMatch(/stopped$/);
    const rebooted = others.filter((vm) => simulation.vm(vm).rebooted.size > 0);
    expect(others.length).toBeGreaterThan(0);
    expect(rebooted).toEqual([]);
  });

  test("pauses while a zone is lost and finishes the round afterwards", () => {
    const simulation = new FleetSimulation();
    untilWideWave(simulation);
    const zone = simulation.state.rollout.wave?.domain === "z2" ? "z1" : "z2";
    for (const vm of simulation.vms.keys()) {
      if (vm.startsWith(zone)) {
        simulation.fail(vm, HOUR_MS);
      }
    }
    const from = simulation.now;
    simulation.until(() => simulation.state.rollout.wave === null);
    const known = simulation.state.rollout.lastWave;
    simulation.until(() => simulation.now - from >= HOUR_MS - 10_000);
    expect(simulation.state.rollout.lastWave).toBe(known);
    simulation.until(() => simulation.isRoundDone());
  });

  test("pauses again when a second VM fails right after the first has recovered", () => {
    const simulation = new FleetSimulation();
    simulation.until(() => simulation.state.rollout.passed >= 1);
    simulation.demand = 16;
    simulation.fail("z0-r0-a", 120_000);
    simulation.until(() => simulation.state.vms["z0-r0-a"]?.phase === "failed");
    simulation.until(() =>
      simulation.state.vms["z0-r0-a"]?.phase === "serving"
    );
    simulation.fail("z1-r0-a", 600_000);
    simulation.until(() => simulation.state.vms["z1-r0-a"]?.phase === "failed");
    simulation.until(() => simulation.isRoundDone());
    expect(
      Object.values(simulation.state.vms).every((vm) => vm.maintainedAt > 0),
    )
      .toBe(true);
  });

  test("keeps a VM out of service while a reboot order may still be in transit", () => {
    const simulation = new FleetSimulation();
    const vm = "z0-r0-a";
    simulation.vm(vm).orderDelayMs = 20 * 60_000;
    simulation.until(() => simulation.state.vms[vm]?.phase === "failed");
    simulation.until(() => simulation.state.vms[vm]?.phase === "serving");
    expect(simulation.vm(vm).rebooted.size).toBe(1);
    simulation.vm(vm).orderDelayMs = 0;
    simulation.until(() => simulation.isRoundDone());
    expect(simulation.vm(vm).rebooted.size).toBe(1);
  });

  test("records a reboot that the agent refuses and retries it under a new operation id", () => {
    const simulation = new FleetSimulation();
    const vm = "z0-r0-a";
    simulation.vm(vm).refusesReboots = true;
    simulation.until(() => simulation.state.rollout.refused[vm]?.count === 1);
    simulation.vm(vm).refusesReboots = false;
    simulation.until(() => simulation.isRoundDone());
    expect([...simulation.vm(vm).rebootAnswerAt.keys()].map((id) => id.at(-1)))
      .toEqual(["0", "1"]);
  });
});
