/**
 * Simulates a fleet around the maintenance decisions: VMs that serve, drain, reboot and fail, platform agents whose
 * answers may get lost, and demand with a daily cycle. The replicated state is the product's own.
 *
 * @module
 */
import {
  type AgentCall,
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
import { between, exponential, type Random, randomStream } from "./random.ts";
import type { FleetProfile } from "./fleet_profile.ts";

const SLOTS_PER_VM = 8;
const DAY_MS = 86_400_000;
const HOUR_MS = 3_600_000;
/** Time until a new revision has reached every entry. */
const PROPAGATION_MS = 2_000;
const MEAN_SHORT_REQUEST_MS = 8_000;
const LONG_REQUEST_SHARE = 0.03;
const MAX_LONG_REQUEST_MS = 900_000;
const MIN_REBOOT_MS = 120_000;
const MAX_REBOOT_MS = 300_000;
const LOST_ANSWER_SHARE = 0.05;
/** On an ordinary day, 10 of 1,500 VMs fail and 83 restart. */
const FAILURES_PER_VM_DAY = 10 / 1_500;
const RESTARTS_PER_VM_DAY = 83 / 1_500;
const MIN_REPAIR_MS = 1_800_000;
const MAX_REPAIR_MS = 7_200_000;
/** Demand at the hour of lowest demand, as a share of the peak. */
const MIN_DEMAND_SHARE = 0.4;
const NOISE_SHARE = 0.03;
const FLEET_STREAM = 1_000_001;
const DEMAND_STREAM = 1_000_002;

interface SimulatedVm {
  random: Random;
  downUntil: number;
  stateChangedAt: number;
  busyUntil: number;
  rebootsDoneAt: Map<string, number>;
  drainOperations: Set<string>;
}

/** A simulated fleet with its replicated state. */
export class FleetSimulation {
  readonly state: State = emptyState();
  readonly #profile: FleetProfile;
  readonly incident: Incident;
  readonly #vms = new Map<string, SimulatedVm>();
  readonly #estimator = new DemandEstimator();
  readonly #fleetRandom: Random;
  readonly #demandRandom: Random;
  readonly #revisions: { at: number; revision: number }[] = [];
  readonly #demandTotals = new Map<
    string,
    { needed: number; unserved: number }
  >();
  #incidentStartedAt: number | undefined;
  #pools = new Map<string, VmRecord[]>();
  #poolsRevision = -1;
  now: number;
  drainCount = 0;

  constructor(profile: FleetProfile, seed: number) {
    this.#profile = profile;
    this.now = 100 * DAY_MS + profile.startHour * HOUR_MS;
    this.incident = incidentOf(seed, profile.inventory);
    this.#fleetRandom = randomStream(seed, FLEET_STREAM);
    this.#demandRandom = randomStream(seed, DEMAND_STREAM);
    profile.inventory.vms.forEach((vm, i) => {
      this.#vms.set(vm.name, {
        random: randomStream(seed, i),
        downUntil: 0,
        stateChangedAt: this.now - DAY_MS,
        busyUntil: 0,
        rebootsDoneAt: new Map(),
        drainOperations: new Set(),
      });
    });
    const { inventory, rules } = profile;
    this.apply({
      kind: "configure",
      change: "first",
      base: 0,
      inventory,
      rules,
      at: this.now,
    });
    this.#recordPastPeaks();
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

  /** Passes an action to the agent of a VM. */
  perform({ kind, vm, operation }: AgentCall): void {
    if (kind === "reboot") {
      this.reboot(vm, operation);
    } else {
      this.#vm(vm).drainOperations.add(operation);
    }
  }

  /** Reboots a VM through its agent; idempotent for the same operation id. */
  reboot(vm: string, operation: string): void {
    const simulatedVm = this.#vm(vm);
    if (simulatedVm.rebootsDoneAt.has(operation)) {
      return;
    }
    const doneAt = this.now +
      between(simulatedVm.random, MIN_REBOOT_MS, MAX_REBOOT_MS);
    simulatedVm.rebootsDoneAt.set(operation, doneAt);
    this.#takeDown(simulatedVm, doneAt + (this.#returnDelayMs() ?? 0));
  }

  /** Advances time by one tick: incident, random failures, and demand and the part of it that is unserved. */
  tick(): void {
    this.now += this.#profile.tickMs;
    this.#startIncident();
    this.#failAtRandom();
    for (const service of this.#profile.rules.services) {
      this.#recordDemand(service.name);
    }
  }

  /** Returns what a leader would observe now. */
  observe(): Observation {
    const operations = new Map<string, OperationStatus>();
    const conditions = new Map<string, VmCondition>();
    for (const [name, simulatedVm] of this.#vms) {
      conditions.set(name, this.#condition(name, simulatedVm));
      this.#collectAnswers(simulatedVm, operations);
    }
    return {
      revisionInForce: this.#revisionInForce(),
      conditions,
      demands: new Map(this.#profile.rules.services.map(({ name }) => [
        name,
        this.#estimator.estimate(name) ?? { slots: 0, at: 0 },
      ])),
      readings: this.#readings(),
      operations,
    };
  }

  /** Unserved demand of a service in slot milliseconds. */
  unserved(service: string): number {
    return this.#demandTotals.get(service)?.unserved ?? 0;
  }

  /** Mean demand of a service over a day, in slots. */
  meanDemand(service: string): number {
    const share = (1 + MIN_DEMAND_SHARE) / 2;
    return this.#profile.load * share * this.#capacity(service);
  }

  /** Number of VMs that were rebooted more than once. */
  repeatedReboots(): number {
    return [...this.#vms.values()].filter((vm) => vm.rebootsDoneAt.size > 1)
      .length;
  }

  isLive(vm: string): boolean {
    return this.#vm(vm).downUntil <= this.now;
  }

  #vm(vm: string): SimulatedVm {
    const simulatedVm = this.#vms.get(vm);
    if (simulatedVm === undefined) {
      throw new Error(`VM "${vm}" does not exist`);
    }
    return simulatedVm;
  }

  #takeDown(simulatedVm: SimulatedVm, until: number): void {
    if (simulatedVm.downUntil <= this.now) {
      simulatedVm.stateChangedAt = this.now;
    }
    simulatedVm.downUntil = Math.max(simulatedVm.downUntil, until);
    simulatedVm.busyUntil = 0;
  }

  #returnDelayMs(): number | undefined {
    const { kind, durationMs } = this.incident;
    const end = (this.#incidentStartedAt ?? -durationMs) + durationMs;
    return kind === "no-return" && end > this.now ? end - this.now : undefined;
  }

  #startDrain(vms: string[]): void {
    this.drainCount += vms.length;
    for (const vm of vms) {
      const { random } = this.#vm(vm);
      const isLong = random() < LONG_REQUEST_SHARE;
      const workMs = isLong
        ? random() * MAX_LONG_REQUEST_MS
        : exponential(random, MEAN_SHORT_REQUEST_MS);
      this.#vm(vm).busyUntil = this.now + PROPAGATION_MS + workMs;
    }
  }

  #startIncident(): void {
    if (
      this.#incidentStartedAt !== undefined ||
      this.drainCount < this.incident.afterDrains
    ) {
      return;
    }
    this.#incidentStartedAt = this.now;
    for (const vm of this.incident.vms) {
      this.#takeDown(this.#vm(vm), this.now + this.incident.durationMs);
    }
  }

  #failAtRandom(): void {
    const days = this.#profile.tickMs / DAY_MS;
    const rate = FAILURES_PER_VM_DAY + RESTARTS_PER_VM_DAY;
    const probability = rate * days * this.#vms.size;
    if (this.#fleetRandom() >= probability) {
      return;
    }
    const names = [...this.#vms.keys()];
    const vm = names[Math.floor(this.#fleetRandom() * names.length)] ?? "";
    const isFailure = this.#fleetRandom() < FAILURES_PER_VM_DAY / rate;
    const downMs = isFailure
      ? between(this.#fleetRandom, MIN_REPAIR_MS, MAX_REPAIR_MS)
      : between(this.#fleetRandom, MIN_REBOOT_MS, MAX_REBOOT_MS);
    this.#takeDown(this.#vm(vm), this.now + downMs);
  }

  #recordDemand(service: string): void {
    const noise = 1 + NOISE_SHARE * (2 * this.#demandRandom() - 1);
    const demand = this.#demandAt(service, this.now) * noise;
    const serving = this.#vmsOf(service).filter((record) =>
      record.phase === "serving" && this.isLive(record.name)
    );
    const totals = this.#demandTotals.get(service) ??
      { needed: 0, unserved: 0 };
    const unserved = Math.max(0, demand - serving.length * SLOTS_PER_VM);
    totals.needed += demand * this.#profile.tickMs;
    totals.unserved += unserved * this.#profile.tickMs;
    this.#demandTotals.set(service, totals);
    this.#estimator.record(service, { slots: demand, at: this.now });
  }

  #demandAt(service: string, at: number): number {
    const hour = at % DAY_MS / HOUR_MS;
    const angle = 2 * Math.PI * (hour - this.#profile.peakHour) / 24;
    const share = MIN_DEMAND_SHARE +
      (1 - MIN_DEMAND_SHARE) * (1 + Math.cos(angle)) / 2;
    return this.#profile.load * share * this.#capacity(service);
  }

  #capacity(service: string): number {
    return SLOTS_PER_VM * this.#vmsOf(service).length;
  }

  #vmsOf(service: string): VmRecord[] {
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

  /** Records the demand peaks of the previous day. */
  #recordPastPeaks(): void {
    const end = this.now;
    for (let at = end - DAY_MS; at < end; at += HOUR_MS / 4) {
      const peaks = this.#profile.rules.services.map(({ name }) => ({
        service: name,
        slots: this.#demandAt(name, at),
      }));
      this.apply({ kind: "budget.account", readings: [], peaks, at });
    }
  }

  #condition(name: string, simulatedVm: SimulatedVm): VmCondition {
    const record = this.state.vms[name];
    const live = simulatedVm.downUntil <= this.now;
    const stateChangedAt = live && simulatedVm.downUntil > 0
      ? simulatedVm.downUntil
      : simulatedVm.stateChangedAt;
    const service = record?.pool ?? "";
    const idle = record?.phase !== "serving" &&
      simulatedVm.busyUntil <= this.now;
    return {
      live,
      since: stateChangedAt,
      observed: true,
      slots: live ? { [service]: SLOTS_PER_VM } : {},
      inFlight: idle ? 0 : 1,
      tasks: 0,
      platformDrained: false,
    };
  }

  #collectAnswers(
    simulatedVm: SimulatedVm,
    answers: Map<string, OperationStatus>,
  ): void {
    simulatedVm.drainOperations.forEach((operation) =>
      answers.set(operation, "done")
    );
    for (const [operation, doneAt] of simulatedVm.rebootsDoneAt) {
      const lost = doneAt > this.now ||
        simulatedVm.random() < LOST_ANSWER_SHARE;
      if (!lost) {
        answers.set(operation, "done");
      }
    }
  }

  #revisionInForce(): number {
    const newest = this.#revisions.findLast((r) =>
      r.at <= this.now - PROPAGATION_MS
    );
    return newest?.revision ?? 0;
  }

  #readings(): Reading[] {
    return [...this.#demandTotals].map(([service, totals]) => ({
      entry: "entry-1",
      incarnation: 1,
      service,
      ...totals,
    }));
  }
}
