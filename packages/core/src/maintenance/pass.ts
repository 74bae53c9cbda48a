/**
 * The context that the steps of one decision pass share.
 *
 * @module
 */
import type { VmPhase, VmReason, VmRecord } from "../fleet.ts";
import type { Command } from "../state_machine.ts";
import type { Maintenance } from "../rules.ts";
import type { State } from "../state.ts";
import { Capacity } from "./capacity.ts";
import type {
  AgentCall,
  Hold,
  MaintenanceDecision,
  Observation,
  VmCondition,
} from "./observation.ts";

/** Most holds that one pass reports. */
const MAX_HOLDS = 256;

/** Inputs of a decision pass and the decision under construction. */
export class Pass {
  readonly state: State;
  readonly observation: Observation;
  readonly now: number;
  readonly capacity: Capacity;
  readonly inventoryVms: ReadonlyMap<string, State["inventory"]["vms"][number]>;
  readonly #commands: Command[] = [];
  readonly #actions: AgentCall[] = [];
  readonly #holds: Hold[] = [];

  constructor(state: State, observation: Observation, now: number) {
    this.state = state;
    this.observation = observation;
    this.now = now;
    this.capacity = new Capacity(state, observation, now);
    this.inventoryVms = new Map(state.inventory.vms.map((vm) => [vm.name, vm]));
  }

  get rules(): Maintenance {
    return this.state.rules.maintenance;
  }

  get decision(): MaintenanceDecision {
    return {
      commands: this.#commands,
      actions: this.#actions,
      holds: this.#holds,
    };
  }

  condition(vm: string): VmCondition | undefined {
    return this.observation.conditions.get(vm);
  }

  /** Whether a VM has answered without interruption for this long. */
  hasAnsweredFor(vm: string, durationMs: number): boolean {
    const condition = this.condition(vm);
    return condition?.live === true && this.now - condition.since >= durationMs;
  }

  propose(command: Command): void {
    this.#commands.push(command);
  }

  callAgent(call: AgentCall): void {
    this.#actions.push(call);
  }

  /** Reports a hold; those beyond the limit are dropped. */
  reportHold(hold: Hold): void {
    if (this.#holds.length < MAX_HOLDS) {
      this.#holds.push(hold);
    }
  }

  changePhase(record: VmRecord, to: VmPhase, reason: VmReason): void {
    this.propose({
      kind: "vm.phase",
      vm: record.name,
      from: record.phase,
      to,
      reason,
      at: this.now,
    });
  }
}
