import fc from "fast-check";
import { expect, test } from "vitest";
import {
  defaultInventory,
  defaultRules,
  FleetSimulation,
  START,
} from "./maintenance_simulation.ts";

const VMS = defaultInventory().vms.map((vm) => vm.name);
const RUNS = 60;

const vm = fc.constantFrom(...VMS);
const event = fc.oneof(
  fc.record({ kind: fc.constant("run" as const), steps: fc.nat(120) }),
  fc.record({
    kind: fc.constant("fail" as const),
    vm,
    seconds: fc.nat(600),
  }),
  fc.record({
    kind: fc.constant("zone" as const),
    zone: fc.nat(2),
    seconds: fc.nat(900),
  }),
  fc.record({
    kind: fc.constant("leader" as const),
    skewMs: fc.integer({ min: -600_000, max: 600_000 }),
  }),
  fc.record({
    kind: fc.constant("move" as const),
    vm,
    pool: fc.constantFrom("a", "b"),
  }),
  fc.record({ kind: fc.constant("remove" as const), vm }),
  fc.record({ kind: fc.constant("want" as const), vm, out: fc.boolean() }),
  fc.record({ kind: fc.constant("stuck" as const), vm, stuck: fc.boolean() }),
  fc.record({
    kind: fc.constant("late" as const),
    vm,
    seconds: fc.nat(1_500),
  }),
  fc.record({ kind: fc.constant("slow" as const), ms: fc.nat(30_000) }),
  fc.record({ kind: fc.constant("need" as const), slots: fc.nat(40) }),
);
type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

function applyEvent(simulation: FleetSimulation, event: Event): void {
  const { inventory, rules } = simulation.state;
  switch (event.kind) {
    case "run":
      for (let i = 0; i < event.steps; i++) {
        simulation.step();
      }
      return;
    case "fail":
      return simulation.fail(event.vm, event.seconds * 1_000);
    case "zone":
      return VMS.filter((name) => name.startsWith(`z${event.zone}`))
        .forEach((name) => simulation.fail(name, event.seconds * 1_000));
    case "leader":
      return simulation.changeLeader(event.skewMs);
    case "move": {
      const vms = inventory.vms.map((vm) =>
        vm.name === event.vm ? { ...vm, pool: event.pool } : vm
      );
      return simulation.configure({ ...inventory, vms }, rules);
    }
    case "remove": {
      const vms = inventory.vms.filter((vm) => vm.name !== event.vm);
      return simulation.configure({ ...inventory, vms }, rules);
    }
    case "want":
      simulation.propose({
        kind: "vm.want",
        vm: event.vm,
        out: event.out,
        at: simulation.now,
      });
      return;
    case "stuck":
      simulation.vm(event.vm).staysDown = event.stuck;
      return;
    case "late":
      simulation.vm(event.vm).orderDelayMs = event.seconds * 1_000;
      return;
    case "slow":
      simulation.requestMs = event.ms;
      return;
    case "need":
      simulation.demand = event.slots;
  }
}

/** Ends all faults and operator requests, so that the round can finish. */
function endFaults(simulation: FleetSimulation): void {
  simulation.lossShare = 0;
  simulation.requestMs = 1_000;
  simulation.demand = 0;
  for (const name of VMS) {
    simulation.vm(name).staysDown = false;
    simulation.vm(name).orderDelayMs = 0;
    simulation.propose({
      kind: "vm.want",
      vm: name,
      out: false,
      at: simulation.now,
    });
  }
}

test("random faults never interrupt requests, maintain a VM twice or skip one", () => {
  const history = fc.array(event, { minLength: 5, maxLength: 40 });
  const losses = fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true }));
  fc.assert(
    fc.property(history, losses, fc.boolean(), (events, draws, stops) => {
      const simulation = new FleetSimulation({
        rules: defaultRules({
          bakeMs: 5_000,
          repairMs: 0,
          drainTimeoutMs: 60_000,
          rebootTimeoutMs: 120_000,
        }),
      });
      simulation.random = () => draws.next().value;
      simulation.lossShare = 0.2;
      simulation.vms.forEach((simulatedVm) => simulatedVm.stopsTargets = stops);
      events.forEach((event) => applyEvent(simulation, event));
      endFaults(simulation);
      simulation.until(() => simulation.isRoundDone());
      const pools = Object.values(simulation.state.vms).map((vm) => vm.pool);
      expect(pools).toEqual(
        simulation.state.inventory.vms.map((vm) => vm.pool),
      );
      expect(Object.keys(simulation.state.vms).toSorted()).toEqual(
        simulation.state.inventory.vms.map((vm) => vm.name).toSorted(),
      );
    }),
    { numRuns: RUNS, seed: START % 1_000_003 },
  );
});
