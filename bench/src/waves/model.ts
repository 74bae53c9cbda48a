/**
 * A small model of a fleet around the decision code: VMs that serve, drain, reboot and fail, platform agents whose
 * answers get lost, and need that follows the day. The replicated state is the real one.
 *
 * @module
 */
import {
  type AgentAction,
  apply,
  type Command,
  DemandEstimator,
  emptyState,
  type Observation,
  type OperationStatus,
  type Reading,
  type State,
  type VmCondition,
  type VmRecord,
} from "@quetzalcove/core";
import { type Incident, incidentOf } from "./incident.ts";
import { between, exponential, type Random, randomOf } from "./random.ts";
import type { Shape } from "./shape.ts";

const SLOTS = 8;
const DAY_MS = 86_400_000;
const HOUR_MS = 3_600_000;
/** Time until a new revision is in force on every entry. */
const IN_FORCE_MS = 2_000;
const MEAN_REQUEST_MS = 8_000;
const LONG_WORK_SHARE = 0.03;
const MAX_LONG_WORK_MS = 900_000;
const MIN_REBOOT_MS = 120_000;
const MAX_REBOOT_MS = 300_000;
const LOST_ANSWER_SHARE = 0.05;
/** Of 1,500 VMs, 10 fail and 83 restart on an ordinary day. */
const FAILURES_PER_VM_DAY = 10 / 1_500;
const RESTARTS_PER_VM_DAY = 83 / 1_500;
const MIN_REPAIR_MS = 1_800_000;
const MAX_REPAIR_MS = 7_200_000;
/** Need at the quietest hour as a share of the peak. */
const QUIET_SHARE = 0.4;
const NOISE_SHARE = 0.03;
const FLEET_STREAM = 1_000_001;
const NEED_STREAM = 1_000_002;

interface Machine {
  random: Random;
  downUntil: number;
  since: number;
  busyUntil: number;
  operations: Map<string, number>;
  drains: Set<string>;
}

/** The fleet at one moment. */
export class Model {
  readonly state: State = emptyState();
  readonly #shape: Shape;
  readonly incident: Incident;
  readonly #machines = new Map<string, Machine>();
  readonly #needs = new DemandEstimator();
  readonly #fleetRandom: Random;
  readonly #needRandom: Random;
  readonly #revisions: { at: number; revision: number }[] = [];
  readonly #totals = new Map<string, { needed: number; unserved: number }>();
  #struckAt: number | undefined;
  #pools = new Map<string, VmRecord[]>();
  #poolsRevision = -1;
  now: number;
  stops = 0;

  constructor(shape: Shape, seed: number) {
    this.#shape = shape;
    this.now = 100 * DAY_MS + shape.startHour * HOUR_MS;
    this.incident = incidentOf(seed, shape.inventory);
    this.#fleetRandom = randomOf(seed, FLEET_STREAM);
    this.#needRandom = randomOf(seed, NEED_STREAM);
    shape.inventory.vms.forEach((vm, i) => {
      this.#machines.set(vm.name, {
        random: randomOf(seed, i),
        downUntil: 0,
        since: this.now - DAY_MS,
        busyUntil: 0,
        operations: new Map(),
        drains: new Set(),
      });
    });
    const { inventory, rules } = shape;
    this.apply({
      kind: "configure",
      change: "first",
      base: 0,
      inventory,
      rules,
      at: this.now,
    });
    this.#learnPeaks();
  }

  /** Applies a command as the replicated log would; a refused command changes nothing. */
  apply(command: Command): void {
    const before = this.state.revision;
    const result = apply(this.state, command);
    if (result.ok && this.state.revision > before) {
      this.#revisions.push({ at: this.now, revision: this.state.revision });
    }
    if (result.ok && command.kind === "vm.phase" && command.to === "draining") {
      this.#startDrain([command.vm]);
    }
    if (result.ok && command.kind === "wave.start") {
      this.#startDrain(command.vms);
    }
  }

  /** Gives an order to the agent of a VM. */
  order({ kind, vm, operation }: AgentAction): void {
    if (kind === "reboot") {
      this.reboot(vm, operation);
    } else {
      this.#machine(vm).drains.add(operation);
    }
  }

  /** Asks the agent of a VM for a reboot; asked again under the same id, it does nothing more. */
  reboot(vm: string, operation: string): void {
    const machine = this.#machine(vm);
    if (machine.operations.has(operation)) {
      return;
    }
    const doneAt = this.now +
      between(machine.random, MIN_REBOOT_MS, MAX_REBOOT_MS);
    machine.operations.set(operation, doneAt);
    this.#takeDown(machine, doneAt + (this.#returnDelayMs() ?? 0));
  }

  /** Moves time on by one tick: failures, need and what of it is served. */
  tick(): void {
    this.now += this.#shape.tickMs;
    this.#strike();
    this.#failAtRandom();
    for (const service of this.#shape.rules.services) {
      this.#serve(service.name);
    }
  }

  /** What a leader would observe now. */
  observe(): Observation {
    const operations = new Map<string, OperationStatus>();
    const conditions = new Map<string, VmCondition>();
    for (const [name, machine] of this.#machines) {
      conditions.set(name, this.#condition(name, machine));
      this.#collectAnswers(machine, operations);
    }
    return {
      revisionInForce: this.#revisionInForce(),
      conditions,
      demands: new Map(this.#shape.rules.services.map(({ name }) => [
        name,
        this.#needs.estimate(name) ?? { slots: 0, at: 0 },
      ])),
      readings: this.#readings(),
      operations,
    };
  }

  /** Unserved need of a service in slot milliseconds. */
  unserved(service: string): number {
    return this.#totals.get(service)?.unserved ?? 0;
  }

  /** Mean need of a service in slots. */
  meanNeed(service: string): number {
    const share = (1 + QUIET_SHARE) / 2;
    return this.#shape.load * share * this.#capacity(service);
  }

  /** VMs that their agents rebooted more than once. */
  repeatedReboots(): number {
    return [...this.#machines.values()].filter((m) => m.operations.size > 1)
      .length;
  }

  isLive(vm: string): boolean {
    return this.#machine(vm).downUntil <= this.now;
  }

  #machine(vm: string): Machine {
    const machine = this.#machines.get(vm);
    if (machine === undefined) {
      throw new Error(`VM "${vm}" does not exist`);
    }
    return machine;
  }

  #takeDown(machine: Machine, until: number): void {
    if (machine.downUntil <= this.now) {
      machine.since = this.now;
    }
    machine.downUntil = Math.max(machine.downUntil, until);
    machine.busyUntil = 0;
  }

  #returnDelayMs(): number | undefined {
    const { kind, durationMs } = this.incident;
    const end = (this.#struckAt ?? -durationMs) + durationMs;
    return kind === "no-return" && end > this.now ? end - this.now : undefined;
  }

  #startDrain(vms: string[]): void {
    this.stops += vms.length;
    for (const vm of vms) {
      const { random } = this.#machine(vm);
      const long = random() < LONG_WORK_SHARE;
      const workMs = long
        ? random() * MAX_LONG_WORK_MS
        : exponential(random, MEAN_REQUEST_MS);
      this.#machine(vm).busyUntil = this.now + IN_FORCE_MS + workMs;
    }
  }

  #strike(): void {
    if (this.#struckAt !== undefined || this.stops < this.incident.afterStops) {
      return;
    }
    this.#struckAt = this.now;
    for (const vm of this.incident.vms) {
      this.#takeDown(this.#machine(vm), this.now + this.incident.durationMs);
    }
  }

  #failAtRandom(): void {
    const days = this.#shape.tickMs / DAY_MS;
    const rate = FAILURES_PER_VM_DAY + RESTARTS_PER_VM_DAY;
    const probability = rate * days * this.#machines.size;
    if (this.#fleetRandom() >= probability) {
      return;
    }
    const names = [...this.#machines.keys()];
    const vm = names[Math.floor(this.#fleetRandom() * names.length)] ?? "";
    const fails = this.#fleetRandom() < FAILURES_PER_VM_DAY / rate;
    const downMs = fails
      ? between(this.#fleetRandom, MIN_REPAIR_MS, MAX_REPAIR_MS)
      : between(this.#fleetRandom, MIN_REBOOT_MS, MAX_REBOOT_MS);
    this.#takeDown(this.#machine(vm), this.now + downMs);
  }

  #serve(service: string): void {
    const noise = 1 + NOISE_SHARE * (2 * this.#needRandom() - 1);
    const need = this.#needAt(service, this.now) * noise;
    const serving = this.#pool(service).filter((record) =>
      record.phase === "serving" && this.isLive(record.name)
    );
    const totals = this.#totals.get(service) ?? { needed: 0, unserved: 0 };
    const unserved = Math.max(0, need - serving.length * SLOTS);
    totals.needed += need * this.#shape.tickMs;
    totals.unserved += unserved * this.#shape.tickMs;
    this.#totals.set(service, totals);
    this.#needs.record(service, { slots: need, at: this.now });
  }

  #needAt(service: string, at: number): number {
    const hour = at % DAY_MS / HOUR_MS;
    const angle = 2 * Math.PI * (hour - this.#shape.peakHour) / 24;
    const share = QUIET_SHARE + (1 - QUIET_SHARE) * (1 + Math.cos(angle)) / 2;
    return this.#shape.load * share * this.#capacity(service);
  }

  #capacity(service: string): number {
    return SLOTS * this.#pool(service).length;
  }

  #pool(service: string): VmRecord[] {
    if (this.#poolsRevision !== this.state.revision) {
      this.#poolsRevision = this.state.revision;
      this.#pools = new Map();
      for (const record of Object.values(this.state.vms)) {
        const pool = this.#pools.get(record.pool) ?? [];
        pool.push(record);
        this.#pools.set(record.pool, pool);
      }
    }
    return this.#pools.get(service) ?? [];
  }

  /** Replays the peaks of the day before. */
  #learnPeaks(): void {
    const end = this.now;
    for (let at = end - DAY_MS; at < end; at += HOUR_MS / 4) {
      const peaks = this.#shape.rules.services.map(({ name }) => ({
        service: name,
        slots: this.#needAt(name, at),
      }));
      this.apply({ kind: "budget.account", readings: [], peaks, at });
    }
  }

  #condition(name: string, machine: Machine): VmCondition {
    const record = this.state.vms[name];
    const live = machine.downUntil <= this.now;
    const since = live && machine.downUntil > 0
      ? machine.downUntil
      : machine.since;
    const service = record?.pool ?? "";
    const idle = record?.phase !== "serving" && machine.busyUntil <= this.now;
    return {
      live,
      since,
      slots: live ? { [service]: SLOTS } : {},
      inFlight: idle ? 0 : 1,
      tasks: 0,
      platformDrained: false,
    };
  }

  #collectAnswers(
    machine: Machine,
    answers: Map<string, OperationStatus>,
  ): void {
    machine.drains.forEach((operation) => answers.set(operation, "done"));
    for (const [operation, doneAt] of machine.operations) {
      const lost = doneAt > this.now || machine.random() < LOST_ANSWER_SHARE;
      if (!lost) {
        answers.set(operation, "done");
      }
    }
  }

  #revisionInForce(): number {
    const known = this.#revisions.findLast((r) =>
      r.at <= this.now - IN_FORCE_MS
    );
    return known?.revision ?? 0;
  }

  #readings(): Reading[] {
    return [...this.#totals].map(([service, totals]) => ({
      entry: "entry-1",
      incarnation: 1,
      service,
      ...totals,
    }));
  }
}
