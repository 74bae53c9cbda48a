/**
 * The view of an entry: a copy of the configuration and the VM records at one revision. The revision of a view never
 * decreases.
 *
 * @module
 */
import { z } from "zod";
import { VmRecord } from "../fleet.ts";
import { emptyInventory, Inventory } from "../inventory.ts";
import { emptyRules, Rules, type Service } from "../rules.ts";
import type { State } from "../state.ts";

/** Changes between two revisions; with `from` -1, the complete view. */
export const ViewDelta = z.object({
  from: z.number().int(),
  to: z.number().int(),
  version: z.number().int(),
  configuration: z.object({ inventory: Inventory, rules: Rules }).optional(),
  vms: z.array(VmRecord),
  removed: z.array(z.string()),
});
export type ViewDelta = z.infer<typeof ViewDelta>;

/** Changes of the state since revision `known`; -1 for no view. */
export function viewSince(state: State, known: number): ViewDelta {
  if (known === state.revision) {
    const { revision, version } = state;
    return { from: known, to: revision, version, vms: [], removed: [] };
  }
  const from = known > state.revision ? -1 : known;
  const delta: ViewDelta = {
    from,
    to: state.revision,
    version: state.version,
    vms: Object.values(state.vms).filter((vm) => vm.revision > from),
    removed: Object.keys(state.removed).filter((name) =>
      (state.removed[name] ?? 0) > from
    ),
  };
  if (state.configurationRevision > from) {
    delta.configuration = { inventory: state.inventory, rules: state.rules };
  }
  return delta;
}

/** A view, initially empty at revision -1. */
export class View {
  revision = -1;
  version = 0;
  inventory: Inventory = emptyInventory();
  rules: Rules = emptyRules();
  readonly vms = new Map<string, VmRecord>();
  #services = new Map<string, Service>();

  /** Applies a delta. Returns false, and changes nothing, if it does not build on the view's revision. */
  apply(delta: ViewDelta): boolean {
    if (delta.from > this.revision || delta.to < this.revision) {
      return false;
    }
    if (delta.configuration !== undefined) {
      this.inventory = delta.configuration.inventory;
      this.rules = delta.configuration.rules;
      this.#services = new Map(
        this.rules.services.map((service) => [service.name, service]),
      );
    }
    for (const name of delta.removed) {
      this.vms.delete(name);
    }
    for (const vm of delta.vms) {
      this.vms.set(vm.name, vm);
    }
    this.version = delta.version;
    this.revision = delta.to;
    return true;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Whether a VM may receive new requests of a service. */
  admits(vm: string, service: Service): boolean {
    const record = this.vms.get(vm);
    return record !== undefined && record.phase === "serving" &&
      record.pool === service.pool;
  }
}
