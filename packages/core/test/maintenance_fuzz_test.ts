import fc from "fast-check";
import { expect, test } from "vitest";
import { inventory, rules, START, World } from "./maintenance_simulation.ts";

const VMS = inventory().vms.map((vm) => vm.name);
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

function take(world: World, event: Event): void {
  const { inventory, rules } = world.state;
  switch (event.kind) {
    case "run":
      for (let i = 0; i < event.steps; i++) {
        world.step();
      }
      return;
    case "fail":
      return world.fail(event.vm, event.seconds * 1_000);
    case "zone":
      return VMS.filter((name) => name.startsWith(`z${event.zone}`))
        .forEach((name) => world.fail(name, event.seconds * 1_000));
    case "leader":
      return world.changeLeader(event.skewMs);
    case "move": {
      const vms = inventory.vms.map((vm) =>
        vm.name === event.vm ? { ...vm, pool: event.pool } : vm
      );
      return world.configure({ ...inventory, vms }, rules);
    }
    case "remove": {
      const vms = inventory.vms.filter((vm) => vm.name !== event.vm);
      return world.configure({ ...inventory, vms }, rules);
    }
    case "want":
      world.propose({
        kind: "vm.want",
        vm: event.vm,
        out: event.out,
        at: world.now,
      });
      return;
    case "stuck":
      world.machine(event.vm).stuck = event.stuck;
      return;
    case "late":
      world.machine(event.vm).orderMs = event.seconds * 1_000;
      return;
    case "slow":
      world.requestMs = event.ms;
      return;
    case "need":
      world.need = event.slots;
  }
}

/** Ends all faults and wishes, so that the round can finish. */
function calm(world: World): void {
  world.lossShare = 0;
  world.requestMs = 1_000;
  world.need = 0;
  for (const name of VMS) {
    world.machine(name).stuck = false;
    world.machine(name).orderMs = 0;
    world.propose({ kind: "vm.want", vm: name, out: false, at: world.now });
  }
}

test("no history of faults stops work in flight, repeats a VM or skips one", () => {
  const history = fc.array(event, { minLength: 5, maxLength: 40 });
  const losses = fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true }));
  fc.assert(
    fc.property(history, losses, fc.boolean(), (events, draws, stops) => {
      const world = new World({
        rules: rules({
          bakeMs: 5_000,
          repairMs: 0,
          drainTimeoutMs: 60_000,
          rebootTimeoutMs: 120_000,
        }),
      });
      world.random = () => draws.next().value;
      world.lossShare = 0.2;
      world.machines.forEach((machine) => machine.stopsTargets = stops);
      events.forEach((event) => take(world, event));
      calm(world);
      world.until(() => world.isRoundDone());
      const pools = Object.values(world.state.vms).map((vm) => vm.pool);
      expect(pools).toEqual(world.state.inventory.vms.map((vm) => vm.pool));
      expect(Object.keys(world.state.vms).toSorted()).toEqual(
        world.state.inventory.vms.map((vm) => vm.name).toSorted(),
      );
    }),
    { numRuns: RUNS, seed: START % 1_000_003 },
  );
});
