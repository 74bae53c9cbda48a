/**
 * Simulates a small fleet for tests of the maintenance decisions and throws when an invariant is violated: no VM is
 * rebooted or moved with requests in flight, so it must get no new ones while it stops; every stop leaves enough
 * capacity for the loss of a zone; no VM is rebooted or maintained twice in a round.
 *
 * @module
 */
import {
  apply,
  type Command,
  decideMaintenance,
  emptyState,
  Inventory,
  type MaintenanceDecision,
  type Observation,
  type OperationStatus,
  Rules,
  State,
  type VmCondition,
} from "@quetzalcove/core";

/** Slots of each VM. */
const SLOTS = 8;
export const HOUR_MS = 3_600_000;
export const START = 100 * 24 * HOUR_MS;

interface SimulatedVm {
  downUntil: number;
  /** Time of the last transition from live to down or to drained. */
  since: number;
  /** End time of each request in flight. */
  requestEnds: number[];
  /** Start times of reboots by operation id. */
  rebooted: Map<string, number>;
  /** Times at which the agent answers reboot orders, by operation id. */
  rebootAnswerAt: Map<string, number>;
  /** Whether the VM stays down for hours after a reboot. */
  staysDown: boolean;
  refusesReboots: boolean;
  /** Whether the platform stops the targets of a drained VM until it is told to resume. */
  stopsTargets: boolean;
  /** Whether the platform has drained the VM. */
  drained: boolean;
  resumedAt: number;
  /** Operation ids of the drains and resumptions that the agent has confirmed. */
  confirmedOperations: Set<string>;
  /** Time that a reboot order takes to reach the agent, in milliseconds. */
  orderDelayMs: number;
  orders: { kind: string; operation: string; at: number }[];
}

/** Two pools of two VMs in each of three zones; every rack holds one VM of each pool. */
export function defaultInventory(): Inventory {
  const zones = ["z0", "z1", "z2"];
  const racks = zones.flatMap((zone) => [
    { name: `${zone}-r0`, zone },
    { name: `${zone}-r1`, zone },
  ]);
  return Inventory.parse({
    zones: zones.map((name) => ({ name, region: "r" })),
    racks,
    pools: [{ name: "a" }, { name: "b" }],
    vms: racks.flatMap(({ name: rack }) =>
      ["a", "b"].map((pool) => ({
        name: `${rack}-${pool}`,
        rack,
        pool,
        cores: 32,
        memoryGb: 128,
        agent: "127.0.0.1:9000",
      }))
    ),
  });
}

/** Rules under which one VM of each pool may be out of service and the loss of a zone is still survived. */
export function defaultRules(maintenance: Record<string, unknown> = {}): Rules {
  return Rules.parse({
    services: [{ name: "a", pool: "a" }, { name: "b", pool: "b" }],
    maintenance: { enabled: true, domain: "zone", ...maintenance },
  });
}

export class FleetSimulation {
  state: State = emptyState();
  now = START;
  /** Demand of every service in slots. */
  demand = 20;
  /** Duration of a request. */
  requestMs = 3_000;
  /** Offset of the leader's clock from the true time. */
  skewMs = 0;
  /** Share of proposals, calls and answers that are lost; drawn from `random`. */
  lossShare = 0;
  random: () => number = () => 0.999;
  readonly vms = new Map<string, SimulatedVm>();
  readonly log: string[] = [];
  lastDecision: MaintenanceDecision = { commands: [], actions: [], holds: [] };
  /** Revision of the view in force on the entries. */
  #revisionInForce = 0;
  readonly #maintained = new Set<string>();
  /** Phase of each VM in the view in force. */
  #phasesInForce = new Map<string, string>();

  constructor(configuration: { inventory?: Inventory; rules?: Rules } = {}) {
    this.configure(
      configuration.inventory ?? defaultInventory(),
      configuration.rules ?? defaultRules(),
    );
  }

  configure(inventory: Inventory, rules: Rules): void {
    this.propose({
      kind: "configure",
      change: `change-${this.state.version}`,
      base: this.state.version,
      inventory,
      rules,
      at: this.now,
    });
    for (const { name } of inventory.vms) {
      if (!this.vms.has(name)) {
        this.vms.set(name, newSimulatedVm());
      }
    }
  }

  vm(vm: string): SimulatedVm {
    const simulatedVm = this.vms.get(vm);
    if (simulatedVm === undefined) {
      throw new Error(`VM "${vm}" does not exist`);
    }
    return simulatedVm;
  }

  isLive(vm: string): boolean {
    const { downUntil, drained } = this.vm(vm);
    return downUntil <= this.now && !drained;
  }

  fail(vm: string, durationMs: number): void {
    const simulatedVm = this.vm(vm);
    simulatedVm.since = this.isLive(vm) ? this.now : simulatedVm.since;
    simulatedVm.downUntil = Math.max(
      simulatedVm.downUntil,
      this.now + durationMs,
    );
    simulatedVm.requestEnds = [];
  }

  /** Replaces the leader by one that has only the replicated state and whose clock may differ. */
  changeLeader(skewMs = 0): void {
    this.state = State.parse(JSON.parse(JSON.stringify(this.state)));
    this.skewMs = skewMs;
  }

  propose(command: Command): boolean {
    const before = this.state.vms;
    const pool = command.kind === "vm.move" ? before[command.vm]?.pool : "";
    const { ok } = apply(this.state, command);
    if (ok && command.kind === "vm.move" && pool !== command.to) {
      this.#assertIdle(command.vm, "moved");
    }
    const startsStop = command.kind === "wave.start" ||
      command.kind === "vm.phase" && command.to === "draining";
    if (ok && startsStop) {
      this.#assertSafe(JSON.stringify(command));
    }
    if (ok && command.kind === "vm.phase" && command.from === "rebooting") {
      this.#recordMaintenance(command);
    }
    if (ok && command.kind !== "budget.account") {
      this.log.push(describe(command));
    }
    return ok;
  }

  /** Advances the fleet by one tick and runs one decision pass. */
  step(tickMs = 1_000): MaintenanceDecision {
    this.now += tickMs;
    this.#sendRequests();
    const decision = decideMaintenance(this.state, this.observe(), {
      now: this.now + this.skewMs,
    });
    this.#revisionInForce = this.state.revision;
    this.#phasesInForce = new Map(
      Object.values(this.state.vms).map((vm) => [vm.name, vm.phase]),
    );
    for (const command of decision.commands) {
      if (!this.#isLost()) {
        this.propose(command);
      }
    }
    for (const action of decision.actions) {
      if (!this.#isLost()) {
        const { orders, orderDelayMs } = this.vm(action.vm);
        const delayMs = action.kind === "reboot" ? orderDelayMs : 0;
        orders.push({ ...action, at: this.now + delayMs });
      }
    }
    this.#deliver();
    this.lastDecision = decision;
    return decision;
  }

  /** Steps until a condition holds; throws after too many steps. */
  until(condition: () => boolean, { steps = 20_000 } = {}): void {
    for (let i = 0; !condition(); i++) {
      if (i === steps) {
        throw new Error(
          `Condition not met after ${steps} steps; holds: ${
            JSON.stringify(this.lastDecision.holds.slice(0, 5))
          }; log: ${this.log.slice(-10).join(" | ")}`,
        );
      }
      this.step();
    }
  }

  isRoundDone(): boolean {
    const { rollout, vms } = this.state;
    return rollout.round > 0 && rollout.wave === null &&
      Object.values(vms).every((vm) =>
        vm.phase === "serving" && vm.maintainedAt >= rollout.startedAt
      );
  }

  observe(): Observation {
    const operations = new Map<string, OperationStatus>();
    const conditions = new Map<string, VmCondition>();
    for (const [vm, simulatedVm] of this.vms) {
      conditions.set(vm, this.#condition(vm, simulatedVm));
      simulatedVm.confirmedOperations.forEach((id) =>
        operations.set(id, "done")
      );
      for (const [id, answerAt] of simulatedVm.rebootAnswerAt) {
        if (answerAt <= this.now && !this.#isLost()) {
          operations.set(id, simulatedVm.rebooted.has(id) ? "done" : "failed");
        }
      }
    }
    const demand = { slots: this.demand, at: this.now + this.skewMs };
    return {
      revisionInForce: this.#revisionInForce,
      conditions,
      demands: new Map([["a", demand], ["b", demand]]),
      readings: [],
      operations,
    };
  }

  #condition(vm: string, simulatedVm: SimulatedVm): VmCondition {
    const live = this.isLive(vm);
    const pool = this.state.vms[vm]?.pool ?? "";
    const revision = this.state.vms[vm]?.revision ?? 0;
    return {
      live,
      since: this.skewMs +
        (live
          ? Math.max(simulatedVm.downUntil, simulatedVm.resumedAt)
          : simulatedVm.since),
      observed: true,
      slots: live ? { [pool]: SLOTS } : {},
      inFlight: this.#revisionInForce >= revision
        ? simulatedVm.requestEnds.length
        : undefined,
      tasks: 0,
      platformDrained: simulatedVm.drained,
    };
  }

  /** Sends a request to each live VM that serves in the view in force. */
  #sendRequests(): void {
    for (const [vm, simulatedVm] of this.vms) {
      simulatedVm.requestEnds = simulatedVm.requestEnds.filter((end) =>
        end > this.now
      );
      if (this.#phasesInForce.get(vm) === "serving" && this.isLive(vm)) {
        simulatedVm.requestEnds.push(this.now + this.requestMs);
      }
    }
  }

  #deliver(): void {
    for (const [vm, simulatedVm] of this.vms) {
      const due = simulatedVm.orders.filter(({ at }) => at <= this.now);
      simulatedVm.orders = simulatedVm.orders.filter(({ at }) => at > this.now);
      due.forEach((order) => this.#perform(vm, order));
    }
  }

  #perform(vm: string, order: { kind: string; operation: string }): void {
    const simulatedVm = this.vm(vm);
    if (order.kind === "reboot") {
      this.#reboot(vm, order.operation);
    } else if (!simulatedVm.confirmedOperations.has(order.operation)) {
      simulatedVm.confirmedOperations.add(order.operation);
      this.#drainPlatform(simulatedVm, order.kind === "drain");
    }
  }

  /** Stops or restarts the targets of a VM as its platform does. */
  #drainPlatform(simulatedVm: SimulatedVm, drained: boolean): void {
    if (simulatedVm.stopsTargets || simulatedVm.drained) {
      simulatedVm.since = this.now;
      simulatedVm.resumedAt = drained ? simulatedVm.resumedAt : this.now;
      simulatedVm.drained = drained;
    }
  }

  #reboot(vm: string, operation: string): void {
    const simulatedVm = this.vm(vm);
    if (simulatedVm.rebootAnswerAt.has(operation)) {
      return;
    }
    this.#assertIdle(vm, "rebooted");
    simulatedVm.rebootAnswerAt.set(operation, this.now + 20_000);
    if (simulatedVm.refusesReboots) {
      return;
    }
    const round = operation.split("/")[1] ?? "";
    const isRepeated = [...simulatedVm.rebooted.keys()].some((id) =>
      id.split("/")[1] === round
    );
    if (isRepeated) {
      throw new Error(`VM "${vm}" was rebooted twice in round ${round}`);
    }
    simulatedVm.rebooted.set(operation, this.now);
    this.fail(vm, simulatedVm.staysDown ? 2 * HOUR_MS : 30_000);
  }

  /**
   * Asserts that the serving VMs cover the demand without any one zone, or, when the rules allow a further loss to spend
   * budget, with all zones.
   */
  #assertSafe(what: string): void {
    const vms = Object.values(this.state.vms);
    for (const pool of ["a", "b"]) {
      const serving = vms.filter((vm) =>
        vm.pool === pool && vm.phase === "serving" && this.isLive(vm.name)
      );
      const mustSurviveLoss = this.state.rules.maintenance.riskShare === 0;
      for (const zone of mustSurviveLoss ? ["z0", "z1", "z2"] : ["none"]) {
        const remaining = serving.filter((vm) => !vm.name.startsWith(zone));
        if (
          remaining.length * SLOTS < this.demand &&
          !this.#isUnaffected(pool, what)
        ) {
          throw new Error(`Pool "${pool}" is unsafe without ${zone}: ${what}`);
        }
      }
    }
  }

  /** Whether a command names no live VM of this pool. */
  #isUnaffected(pool: string, command: string): boolean {
    return !Object.values(this.state.vms).some((vm) =>
      vm.pool === pool && this.isLive(vm.name) &&
      command.includes(`"${vm.name}"`)
    );
  }

  #recordMaintenance(command: Extract<Command, { kind: "vm.phase" }>): void {
    const key = `${command.vm} in round ${this.state.rollout.round}`;
    if (command.to === "returning" && this.#maintained.has(key)) {
      throw new Error(`VM ${key} was maintained twice`);
    }
    if (command.to === "returning") {
      this.#maintained.add(key);
    }
  }

  #assertIdle(vm: string, what: string): void {
    const { requestEnds, downUntil } = this.vm(vm);
    if (downUntil <= this.now && requestEnds.some((end) => end > this.now)) {
      throw new Error(
        `VM "${vm}" was ${what} with ${requestEnds.length} requests in flight`,
      );
    }
  }

  #isLost(): boolean {
    return this.random() < this.lossShare;
  }
}

function newSimulatedVm(): SimulatedVm {
  return {
    downUntil: START - 24 * HOUR_MS,
    since: START - 24 * HOUR_MS,
    requestEnds: [],
    rebooted: new Map(),
    rebootAnswerAt: new Map(),
    staysDown: false,
    refusesReboots: false,
    stopsTargets: false,
    drained: false,
    resumedAt: 0,
    confirmedOperations: new Set(),
    orderDelayMs: 0,
    orders: [],
  };
}

function describe(command: Command): string {
  switch (command.kind) {
    case "vm.phase":
      return `${command.vm} ${command.from} -> ${command.to}`;
    case "vm.move":
      return `${command.vm} moves to ${command.to}`;
    case "wave.start":
      return `wave ${command.id} in ${command.domain}: ${
        command.vms.join(", ")
      }`;
    case "wave.end":
      return `wave ${command.id} ${command.outcome}`;
    case "round.open":
      return `round ${command.round}`;
    default:
      return command.kind;
  }
}
