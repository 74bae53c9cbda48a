/**
 * A small fleet for tests of the maintenance decisions. It checks, at every step, what must always hold: no stop with
 * work in flight, no new work to a VM that stops, and no second reboot of a VM in one round.
 *
 * @module
 */
import {
  apply,
  type Command,
  type Condition,
  decideMaintenance,
  type Decision,
  emptyState,
  Inventory,
  type Observation,
  type OperationStatus,
  Rules,
  State,
} from "@quetzalcove/core";

const SLOTS = 8;
export const HOUR_MS = 3_600_000;
export const START = 100 * 24 * HOUR_MS;

interface Machine {
  downUntil: number;
  since: number;
  /** End of each request in flight. */
  work: number[];
  rebooted: Map<string, number>;
  requested: Map<string, number>;
  /** Whether the next reboot does not come back by itself. */
  stuck: boolean;
  refuses: boolean;
  /** Whether the platform stops the targets of a drained VM until it is told to resume. */
  stopsTargets: boolean;
  drained: boolean;
  resumedAt: number;
  /** Drains and resumptions that the agent has confirmed. */
  drains: Set<string>;
  /** How long an order to reboot takes to reach the agent. */
  orderMs: number;
  orders: { kind: string; operation: string; at: number }[];
}

/** Two pools of two VMs in each of three zones; every rack holds one VM of each pool. */
export function inventory(): Inventory {
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

/** Rules under which one VM of each pool may be out while a zone may still be lost. */
export function rules(maintenance: Record<string, unknown> = {}): Rules {
  return Rules.parse({
    services: [{ name: "a", pool: "a" }, { name: "b", pool: "b" }],
    maintenance: { enabled: true, domain: "zone", ...maintenance },
  });
}

export class World {
  state: State = emptyState();
  now = START;
  /** Need of every service in slots. */
  need = 20;
  requestMs = 3_000;
  /** Difference of the leader's clock to the true time. */
  skewMs = 0;
  /** Share of proposals and answers that get lost; drawn from `random`. */
  lossShare = 0;
  random: () => number = () => 0.999;
  readonly machines = new Map<string, Machine>();
  readonly log: string[] = [];
  last: Decision = { commands: [], actions: [], holds: [] };
  /** The view in force on the entries. */
  #inForce = 0;
  readonly #maintained = new Set<string>();
  #view = new Map<string, string>();

  constructor(configuration: { inventory?: Inventory; rules?: Rules } = {}) {
    this.configure(
      configuration.inventory ?? inventory(),
      configuration.rules ?? rules(),
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
      if (!this.machines.has(name)) {
        this.machines.set(name, newMachine());
      }
    }
  }

  machine(vm: string): Machine {
    const machine = this.machines.get(vm);
    if (machine === undefined) {
      throw new Error(`VM "${vm}" does not exist`);
    }
    return machine;
  }

  isLive(vm: string): boolean {
    const { downUntil, drained } = this.machine(vm);
    return downUntil <= this.now && !drained;
  }

  fail(vm: string, durationMs: number): void {
    const machine = this.machine(vm);
    machine.since = this.isLive(vm) ? this.now : machine.since;
    machine.downUntil = Math.max(machine.downUntil, this.now + durationMs);
    machine.work = [];
  }

  /** A new leader knows the replicated state alone; its clock may differ. */
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
    const stops = command.kind === "wave.start" ||
      command.kind === "vm.phase" && command.to === "draining";
    if (ok && stops) {
      this.#assertSafe(JSON.stringify(command));
    }
    if (ok && command.kind === "vm.phase" && command.from === "rebooting") {
      this.#noteMaintenance(command);
    }
    if (ok && command.kind !== "budget.account") {
      this.log.push(describe(command));
    }
    return ok;
  }

  /** One tick of the fleet and one pass of the leader. */
  step(tickMs = 1_000): Decision {
    this.now += tickMs;
    this.#run();
    const decision = decideMaintenance(this.state, this.observe(), {
      now: this.now + this.skewMs,
    });
    this.#inForce = this.state.revision;
    this.#view = new Map(
      Object.values(this.state.vms).map((vm) => [vm.name, vm.phase]),
    );
    for (const command of decision.commands) {
      if (!this.#lost()) {
        this.propose(command);
      }
    }
    for (const action of decision.actions) {
      if (!this.#lost()) {
        const { orders, orderMs } = this.machine(action.vm);
        const delayMs = action.kind === "reboot" ? orderMs : 0;
        orders.push({ ...action, at: this.now + delayMs });
      }
    }
    this.#deliver();
    this.last = decision;
    return decision;
  }

  /** Steps until a condition holds. */
  until(condition: () => boolean, { steps = 20_000 } = {}): void {
    for (let i = 0; !condition(); i++) {
      if (i === steps) {
        throw new Error(
          `Not reached after ${steps} steps; holds: ${
            JSON.stringify(this.last.holds.slice(0, 5))
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
    const conditions = new Map<string, Condition>();
    for (const [vm, machine] of this.machines) {
      conditions.set(vm, this.#condition(vm, machine));
      machine.drains.forEach((id) => operations.set(id, "done"));
      for (const [id, doneAt] of machine.requested) {
        if (doneAt <= this.now && !this.#lost()) {
          operations.set(id, machine.rebooted.has(id) ? "done" : "failed");
        }
      }
    }
    const need = { slots: this.need, at: this.now + this.skewMs };
    return {
      revisionInForce: this.#inForce,
      conditions,
      needs: new Map([["a", need], ["b", need]]),
      readings: [],
      operations,
    };
  }

  #condition(vm: string, machine: Machine): Condition {
    const live = this.isLive(vm);
    const pool = this.state.vms[vm]?.pool ?? "";
    const revision = this.state.vms[vm]?.revision ?? 0;
    return {
      live,
      since: this.skewMs +
        (live ? Math.max(machine.downUntil, machine.resumedAt) : machine.since),
      slots: live ? { [pool]: SLOTS } : {},
      inFlight: this.#inForce >= revision ? machine.work.length : undefined,
      tasks: 0,
      platformDrained: machine.drained,
    };
  }

  /** Entries send work to the VMs that serve in the view that is in force. */
  #run(): void {
    for (const [vm, machine] of this.machines) {
      machine.work = machine.work.filter((end) => end > this.now);
      if (this.#view.get(vm) === "serving" && this.isLive(vm)) {
        machine.work.push(this.now + this.requestMs);
      }
    }
  }

  #deliver(): void {
    for (const [vm, machine] of this.machines) {
      const due = machine.orders.filter(({ at }) => at <= this.now);
      machine.orders = machine.orders.filter(({ at }) => at > this.now);
      due.forEach((order) => this.#perform(vm, order));
    }
  }

  #perform(vm: string, order: { kind: string; operation: string }): void {
    const machine = this.machine(vm);
    if (order.kind === "reboot") {
      this.#reboot(vm, order.operation);
    } else if (!machine.drains.has(order.operation)) {
      machine.drains.add(order.operation);
      this.#drainPlatform(machine, order.kind === "drain");
    }
  }

  /** Stops the targets of a VM or starts them again, as its platform does. */
  #drainPlatform(machine: Machine, drained: boolean): void {
    if (machine.stopsTargets || machine.drained) {
      machine.since = this.now;
      machine.resumedAt = drained ? machine.resumedAt : this.now;
      machine.drained = drained;
    }
  }

  #reboot(vm: string, operation: string): void {
    const machine = this.machine(vm);
    if (machine.requested.has(operation)) {
      return;
    }
    this.#assertIdle(vm, "rebooted");
    machine.requested.set(operation, this.now + 20_000);
    if (machine.refuses) {
      return;
    }
    const round = operation.split("/")[1] ?? "";
    const again = [...machine.rebooted.keys()].some((id) =>
      id.split("/")[1] === round
    );
    if (again) {
      throw new Error(`VM "${vm}" was rebooted twice in round ${round}`);
    }
    machine.rebooted.set(operation, this.now);
    this.fail(vm, machine.stuck ? 2 * HOUR_MS : 30_000);
  }

  /** What serves must carry the need even without any one zone, unless the rules let a further loss spend budget. */
  #assertSafe(what: string): void {
    const vms = Object.values(this.state.vms);
    for (const pool of ["a", "b"]) {
      const serving = vms.filter((vm) =>
        vm.pool === pool && vm.phase === "serving" && this.isLive(vm.name)
      );
      const strict = this.state.rules.maintenance.riskShare === 0;
      for (const zone of strict ? ["z0", "z1", "z2"] : ["none"]) {
        const left = serving.filter((vm) => !vm.name.startsWith(zone));
        if (left.length * SLOTS < this.need && !this.#isSpare(pool, what)) {
          throw new Error(`Pool "${pool}" is unsafe without ${zone}: ${what}`);
        }
      }
    }
  }

  /** Whether no VM that serves this pool is among the names in a command. */
  #isSpare(pool: string, command: string): boolean {
    return !Object.values(this.state.vms).some((vm) =>
      vm.pool === pool && this.isLive(vm.name) &&
      command.includes(`"${vm.name}"`)
    );
  }

  #noteMaintenance(command: Extract<Command, { kind: "vm.phase" }>): void {
    const key = `${command.vm} in round ${this.state.rollout.round}`;
    if (command.to === "returning" && this.#maintained.has(key)) {
      throw new Error(`VM ${key} was maintained twice`);
    }
    if (command.to === "returning") {
      this.#maintained.add(key);
    }
  }

  #assertIdle(vm: string, what: string): void {
    const { work, downUntil } = this.machine(vm);
    if (downUntil <= this.now && work.some((end) => end > this.now)) {
      throw new Error(`VM "${vm}" was ${what} with ${work.length} in flight`);
    }
  }

  #lost(): boolean {
    return this.random() < this.lossShare;
  }
}

function newMachine(): Machine {
  return {
    downUntil: START - 24 * HOUR_MS,
    since: START - 24 * HOUR_MS,
    work: [],
    rebooted: new Map(),
    requested: new Map(),
    stuck: false,
    refuses: false,
    stopsTargets: false,
    drained: false,
    resumedAt: 0,
    drains: new Set(),
    orderMs: 0,
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
