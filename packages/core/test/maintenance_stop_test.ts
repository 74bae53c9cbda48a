import {
  decideMaintenance,
  type Observation,
  type VmCondition,
} from "@quetzalcove/core";
import { describe, expect, test } from "vitest";
import {
  defaultInventory,
  defaultRules,
  FleetSimulation,
} from "./maintenance_simulation.ts";

const VM = "z0-r0-a";

function withoutWaves(): FleetSimulation {
  return new FleetSimulation({ rules: defaultRules({ enabled: false }) });
}

function want(simulation: FleetSimulation, out: boolean): void {
  simulation.propose({ kind: "vm.want", vm: VM, out, at: simulation.now });
}

function phase(simulation: FleetSimulation): string | undefined {
  return simulation.state.vms[VM]?.phase;
}

function withPool(pool: string): ReturnType<typeof defaultInventory> {
  const all = defaultInventory();
  const vms = all.vms.map((vm) => (vm.name === VM ? { ...vm, pool } : vm));
  return { ...all, vms };
}

/** The rules of the holds of one decision pass on the simulation's observation, with a change applied. */
function holdRulesWith(
  simulation: FleetSimulation,
  change: (observation: Observation) => Partial<Observation>,
): string[] {
  const observation = simulation.observe();
  const changed = {
    ...observation,
    revisionInForce: simulation.state.revision,
    ...change(observation),
  };
  const { holds } = decideMaintenance(simulation.state, changed, {
    now: simulation.now,
  });
  return holds.map((hold) => hold.rule);
}

describe("a planned stop", () => {
  test("waits for the view in force, all in-flight counts, requests and jobs", () => {
    const simulation = withoutWaves();
    want(simulation, true);
    simulation.until(() => phase(simulation) === "draining");
    simulation.until(() => simulation.vm(VM).requestEnds.length === 0);
    const condition: VmCondition = {
      live: true,
      since: 0,
      observed: true,
      slots: { a: 8 },
      inFlight: 0,
      tasks: 0,
      platformDrained: false,
    };
    const revision = simulation.state.vms[VM]?.revision ?? 0;
    const confirmed = new Map([[`drain/${revision}/${VM}`, "done" as const]]);
    const rule = (
      change: Partial<VmCondition>,
      other: Partial<Observation> = {},
    ): string[] =>
      holdRulesWith(simulation, ({ conditions }) => ({
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
    delete simulation.state.inventory.vms.find(({ name }) => name === VM)
      ?.agent;
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

  test("is postponed, not forced, when work does not end in time, and is retried later", () => {
    const simulation = new FleetSimulation({
      rules: defaultRules({ drainTimeoutMs: 60_000 }),
    });
    simulation.requestMs = 200_000;
    simulation.until(() =>
      Object.keys(simulation.state.rollout.postponed).length > 0
    );
    expect([...simulation.vms.values()].every((m) => m.rebooted.size === 0))
      .toBe(true);
    simulation.requestMs = 1_000;
    simulation.until(() => simulation.isRoundDone());
  });

  test("is cancelled when its service is short of capacity", () => {
    const simulation = new FleetSimulation();
    simulation.demand = 20;
    simulation.requestMs = 30_000;
    simulation.until(() => simulation.state.rollout.wave !== null);
    const [stopping = ""] = simulation.state.rollout.wave?.vms ?? [];
    simulation.demand = 45;
    simulation.step();
    simulation.step();
    expect(simulation.state.vms[stopping]?.phase).toBe("serving");
  });

  // Guards against waves that end as postponed after an election, because demand is reported before slots are.
  test("waits, and is not cancelled, while a new leader has not heard from the other VMs", () => {
    const simulation = new FleetSimulation();
    const unheard = (silentMs: number): string[] => {
      const [stopping = ""] = simulation.state.rollout.wave?.vms ?? [];
      return holdRulesWith(simulation, ({ conditions }) => ({
        conditions: new Map(
          [...conditions].map(([vm, condition]) => [
            vm,
            vm === stopping ? condition : {
              ...condition,
              live: false,
              observed: false,
              since: simulation.now - silentMs,
              slots: {},
            },
          ]),
        ),
      }));
    };
    const stoppingPhase = (): string | undefined => {
      const [stopping = ""] = simulation.state.rollout.wave?.vms ?? [];
      return simulation.state.vms[stopping]?.phase;
    };
    simulation.requestMs = 30_000;
    simulation.until(() => stoppingPhase() === "draining");
    expect(unheard(100)).not.toContain("shortfall");
    simulation.until(() => stoppingPhase() === "drained");
    expect(unheard(100)).toContain("capacity_unknown");
    expect(unheard(20_000)).toContain("shortfall");
  });

  test("moves a VM to another pool when it is idle", () => {
    const simulation = withoutWaves();
    simulation.vm(VM).stopsTargets = true;
    simulation.configure(withPool("b"), simulation.state.rules);
    simulation.until(() =>
      simulation.state.vms[VM]?.pool === "b" && phase(simulation) === "serving"
    );
    expect(simulation.log.slice(-5)).toMatchInlineSnapshot(`
      [
        "z0-r0-a serving -> draining",
        "z0-r0-a draining -> drained",
        "z0-r0-a moves to b",
        "z0-r0-a drained -> returning",
        "z0-r0-a returning -> serving",
      ]
    `);
  });

  test("moves a VM without delay after the operator changed its pool back and forth", () => {
    const simulation = withoutWaves();
    simulation.requestMs = 5_000;
    simulation.step();
    simulation.step();
    for (const pool of ["b", "a", "b"]) {
      simulation.configure(withPool(pool), simulation.state.rules);
      simulation.until(() => phase(simulation) !== "serving" || pool === "a", {
        steps: 10,
      });
      simulation.step();
      simulation.step();
    }
    simulation.until(() => simulation.state.vms[VM]?.pool === "b", {
      steps: 30,
    });
  });

  test("removes an idle VM, but not while its service needs it", () => {
    const rest = defaultInventory();
    const without = { ...rest, vms: rest.vms.filter((vm) => vm.name !== VM) };
    const [needed, spare] = [30, 20].map((demand) => {
      const simulation = withoutWaves();
      simulation.demand = demand;
      simulation.configure(without, simulation.state.rules);
      for (let i = 0; i < 60; i++) {
        simulation.step();
      }
      return simulation;
    });
    expect(needed?.state.vms[VM]?.phase).toBe("serving");
    expect(needed?.lastDecision.holds).toContainEqual(
      expect.objectContaining({ rule: "capacity", vm: VM, limit: 30 }),
    );
    expect(spare?.state.vms[VM]).toBeUndefined();
    expect(spare?.state.removed[VM]).toBe(spare?.state.revision);
  });

  test("returns a VM to service when the operator withdraws the request", () => {
    const simulation = withoutWaves();
    want(simulation, true);
    simulation.until(() => phase(simulation) === "drained");
    for (let i = 0; i < 900; i++) {
      simulation.step();
    }
    expect(phase(simulation)).toBe("drained");
    want(simulation, false);
    simulation.until(() => phase(simulation) === "serving", { steps: 5 });
  });
});

describe("health", () => {
  test("a flapping VM must answer for longer each time", () => {
    const simulation = withoutWaves();
    const waits: number[] = [];
    for (let i = 0; i < 4; i++) {
      simulation.fail(VM, 15_000);
      simulation.until(() => phase(simulation) === "failed");
      simulation.until(() => simulation.isLive(VM));
      const from = simulation.now;
      simulation.until(() => phase(simulation) === "serving");
      waits.push(Math.round((simulation.now - from) / 1_000));
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

  test("no VM is marked as failed when most of them are silent at once", () => {
    const simulation = withoutWaves();
    for (const vm of simulation.vms.keys()) {
      simulation.fail(vm, 60_000);
    }
    for (let i = 0; i < 50; i++) {
      simulation.step();
    }
    expect(simulation.log.filter((line) => line.endsWith("failed"))).toEqual(
      [],
    );
    expect(simulation.lastDecision.holds).toContainEqual(
      expect.objectContaining({ rule: "observer", figure: 12, limit: 6 }),
    );
  });
});
