/**
 * Runs one round of maintenance under a policy and measures it.
 *
 * @module
 */
import { type State, vmLocations, windowRemainingMs } from "@quetzalcove/core";
import { Model } from "./model.ts";
import type { Policy } from "./policy.ts";
import type { Shape } from "./shape.ts";

/** The figures of one run. */
export interface Figures {
  /** Whether the seed has an incident. */
  incident: boolean;
  /** Whether every VM was maintained before the run ended. */
  complete: boolean;
  /** From the start of the round until the last VM was back, in minutes. */
  rolloutMinutes: number;
  /** Drains started for each VM maintained. */
  moves: number;
  /**
   * Spare capacity, as a share of need, that the fleet must hold so that at no moment of the round a further loss of
   * one zone leaves need unserved: the highest, over time and services, of total capacity over what would stay, less
   * one. Only VMs that the policy took out count as out. Infinite when nothing would stay.
   */
  buffer: number;
  /** Services whose unserved need exceeded their budget for the window. */
  breaches: number;
  /** The highest share of its budget that a service spent. */
  spent: number;
  /** Minutes in which VMs stopped outside every window. */
  outsideMinutes: number;
  /** VMs rebooted more than once in the round. */
  repeated: number;
  /** The longest decision pass in milliseconds, of the middle 99.9 %. */
  passMs: number;
}

const MINUTE_MS = 60_000;
const PASS_QUANTILE = 0.999;

/** Runs until every VM is maintained or `limitMs` of model time has passed. */
export function measure(
  shape: Shape,
  policy: Policy,
  { seed, limitMs, clock }: {
    seed: number;
    limitMs: number;
    clock: () => number;
  },
): Figures {
  const model = new Model(shape, seed);
  const start = model.now;
  const buffer = new Buffer(model.state);
  const passes: number[] = [];
  let outsideMs = 0;
  while (!isOver(model.state) && model.now - start < limitMs) {
    model.tick();
    const observation = model.observe();
    const from = clock();
    const decision = policy(model.state, observation, model.now);
    passes.push(clock() - from);
    decision.commands.forEach((command) => model.apply(command));
    decision.actions.forEach((action) => model.order(action));
    buffer.sample(model.state);
    outsideMs += isOutside(model, shape) ? shape.tickMs : 0;
  }
  const { state } = model;
  const maintained = Object.values(state.vms).filter((vm) => isDone(state, vm));
  return {
    incident: model.incident.kind !== "none",
    complete: isOver(state),
    rolloutMinutes: (model.now - start) / MINUTE_MS,
    moves: model.stops / Math.max(1, maintained.length),
    buffer: buffer.held,
    ...budgets(model, shape),
    outsideMinutes: outsideMs / MINUTE_MS,
    repeated: model.repeatedReboots(),
    passMs: quantile(passes, PASS_QUANTILE),
  };
}

function isDone(state: State, vm: State["vms"][string]): boolean {
  return state.rollout.round > 0 && vm.maintainedAt >= state.rollout.startedAt;
}

function isOver(state: State): boolean {
  return Object.values(state.vms).every((vm) =>
    isDone(state, vm) && (vm.phase === "serving" || vm.phase === "failed")
  );
}

function isOutside(model: Model, shape: Shape): boolean {
  const { windows } = shape.rules.maintenance;
  return windowRemainingMs(windows, model.now) === 0 &&
    Object.values(model.state.vms).some((vm) =>
      vm.reason === "wave" && vm.phase !== "serving"
    );
}

function budgets(
  model: Model,
  shape: Shape,
): { breaches: number; spent: number } {
  const spent = shape.rules.services.map(({ name, budget }) => {
    const allowed = budget.unservedShare * budget.windowMs *
      model.meanNeed(name);
    return model.unserved(name) / allowed;
  });
  return {
    breaches: spent.filter((share) => share > 1).length,
    spent: Math.max(...spent),
  };
}

function quantile(values: number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ] ?? 0;
}

/** Watches how much capacity a policy leaves after the worst further loss of a zone. */
class Buffer {
  readonly #zones: Map<string, string>;
  #revision = -1;
  held = 0;

  constructor(state: State) {
    this.#zones = new Map(
      [...vmLocations(state)].map(([vm, place]) => [vm, place.zone]),
    );
  }

  sample(state: State): void {
    if (state.revision === this.#revision) {
      return;
    }
    this.#revision = state.revision;
    const pools = new Map<
      string,
      { total: number; left: Map<string, number> }
    >();
    for (const vm of Object.values(state.vms)) {
      const pool = pools.get(vm.pool) ?? { total: 0, left: new Map() };
      pools.set(vm.pool, pool);
      pool.total += 1;
      const zone = this.#zones.get(vm.name) ?? "";
      const stays = vm.reason === "wave" ? 0 : 1;
      pool.left.set(zone, (pool.left.get(zone) ?? 0) + stays);
    }
    for (const { total, left } of pools.values()) {
      const zones = [...left.values()];
      const stays = zones.reduce((a, b) => a + b, 0) - Math.max(...zones);
      this.held = Math.max(this.held, total / stays - 1);
    }
  }
}
