/**
 * Configuration changes: a complete inventory and complete rules, based on a given version.
 *
 * @module
 */
import { z } from "zod";
import { type Fault, fault } from "./fault.ts";
import type { VmRecord } from "./fleet.ts";
import { Inventory } from "./inventory.ts";
import { Err, Ok, type Result } from "./result.ts";
import { Rules } from "./rules.ts";
import type { RecordedChange, State } from "./state.ts";

export const ConfigureCommand = z.object({
  kind: z.literal("configure"),
  /** Id of the change; a retry with the same id gets the first answer. */
  change: z.string().min(1).max(128),
  /** The version that the change is based on. */
  base: z.number().int().nonnegative(),
  inventory: Inventory,
  rules: Rules,
  at: z.number(),
});
export type ConfigureCommand = z.infer<typeof ConfigureCommand>;

/** The accepted version and the view revision that contains it. */
export interface ConfigureOutput {
  kind: "configured";
  version: number;
  revision: number;
}

/** Number of changes kept to answer retries. */
const MAX_RECORDED_CHANGES = 4_096;

/** Applies a change to the state in place, or refuses it as a whole. */
export function applyConfiguration(
  state: State,
  command: ConfigureCommand,
): Result<ConfigureOutput, Fault> {
  const known = state.changes.find((change) => change.id === command.change);
  if (known !== undefined) {
    return Ok(configureOutput(known));
  }
  if (command.base !== state.version) {
    return Err(
      fault(
        "stale_version",
        `The change builds on version ${command.base}, but version ${state.version} is in force`,
        {
          version: state.version,
          remedy:
            "Read the newest version with quetzalcove export, merge, and apply again",
        },
      ),
    );
  }
  state.version += 1;
  state.revision += 1;
  state.configurationRevision = state.revision;
  state.inventory = command.inventory;
  state.rules = command.rules;
  reconcileVms(state, command.at);
  const change = {
    id: command.change,
    version: state.version,
    revision: state.revision,
  };
  state.changes = [...state.changes, change].slice(-MAX_RECORDED_CHANGES);
  return Ok(configureOutput(change));
}

function configureOutput(change: RecordedChange): ConfigureOutput {
  return {
    kind: "configured",
    version: change.version,
    revision: change.revision,
  };
}

/** Adds records of new VMs. A VM that left the inventory keeps its record until `vm.remove` deletes it after a drain. */
function reconcileVms(state: State, at: number): void {
  for (const vm of state.inventory.vms) {
    state.vms[vm.name] ??= newRecord(vm, state.revision, at);
    delete state.removed[vm.name];
  }
}

function newRecord(
  vm: { name: string; pool: string },
  revision: number,
  at: number,
): VmRecord {
  return {
    name: vm.name,
    pool: vm.pool,
    phase: "serving",
    reason: "none",
    since: at,
    revision,
    maintainedAt: 0,
  };
}
