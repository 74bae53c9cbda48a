/**
 * `quetzalcove import`: converts an asset register into an inventory.
 *
 * @module
 */
import {
  Err,
  type Inventory,
  nearestSuggestion,
  Ok,
  type Result,
} from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { type Failure, usageFailure, withReason } from "../failure.ts";
import { formatCount } from "../format.ts";
import { readRegister } from "../input_files.ts";
import { formatInventory } from "../inventory_text.ts";
import { selectZones } from "../register.ts";

export const IMPORT: Command = {
  name: "import",
  parameters: "<register>",
  summary: "Make an inventory from an asset register in CSV",
  details: `
The first line names the columns: vm, rack, zone, region, pool, cores, memory_gb, and
optionally accelerators and agent (the address of the platform agent, IP:port). Each
further line is one VM. Zones, racks and pools are derived from the VMs. Nothing is
sent to the system; use "quetzalcove apply" for that.`,
  options: [
    {
      flags: "--out <file>",
      summary: "Write the inventory to this file (default: standard output)",
    },
    {
      flags: "--zones <names>",
      summary: "Import only these availability zones, separated by commas",
    },
  ],
  examples: [
    "import register.csv --out inventory.json",
    "import register.csv --zones accra-a,accra-b --out inventory.json",
  ],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const { args, options, runtime } = invocation;
  const read = await readRegister(runtime, args[0] ?? "");
  const selected = read.andThen((inventory) =>
    select(inventory, options.text("zones"))
  );
  if (selected.err) {
    return selected;
  }
  const inventory = selected.val;
  const text = formatInventory(inventory);
  const out = options.text("out");
  if (out === undefined) {
    return Ok({ text, data: inventory });
  }
  const written = await runtime.writeText(out, text);
  const counts = {
    vms: inventory.vms.length,
    racks: inventory.racks.length,
    zones: inventory.zones.length,
    pools: inventory.pools.length,
  };
  return withReason("input", written).map(() => ({
    text: `Wrote ${out}: ${formatCount(counts.vms, "VM")}, ${
      formatCount(counts.racks, "rack")
    }, ${formatCount(counts.zones, "zone")}, ${
      formatCount(counts.pools, "pool")
    }\n`,
    data: { out, ...counts },
  }));
}

function select(
  inventory: Inventory,
  names: string | undefined,
): Result<Inventory, Failure> {
  if (names === undefined) {
    return Ok(inventory);
  }
  const zones = names.split(",").map((name) => name.trim());
  const known = inventory.zones.map((zone) => zone.name);
  const unknown = zones.find((zone) => !known.includes(zone));
  if (unknown !== undefined) {
    return Err(
      usageFailure(
        `Zone "${unknown}" is not in the register${
          nearestSuggestion(unknown, known)
        }`,
        `Zones of the register are ${known.join(", ")}`,
      ),
    );
  }
  return Ok(selectZones(inventory, zones));
}
