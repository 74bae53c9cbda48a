/**
 * Converts an asset register in CSV into an inventory.
 *
 * @module
 */
import {
  Err,
  type Fault,
  type Finding,
  invalid,
  type Inventory,
  Ok,
  parse as parseValue,
  type Result,
  Vm,
} from "@quetzalcove/core";
import { compareNames } from "./format.ts";
import { type Cell, findingAt, readRows, type Row } from "./register_rows.ts";

/** Parses a register; the fault names the file, line and column of every finding. */
export function parseRegister(
  text: string,
  fileName: string,
): Result<Inventory, Fault> {
  return readRows(text, fileName).andThen((rows) => {
    const findings: Finding[] = [];
    const vms = rows.flatMap((row) => readVm(row, findings));
    findings.push(
      ...duplicateVms(rows),
      ...conflictingParents(rows, "rack", "zone"),
      ...conflictingParents(rows, "zone", "region"),
    );
    return findings.length === 0 ? Ok(buildInventory(rows, vms)) : Err({
      ...invalid(fileName, findings),
      remedy: "Correct the register and import it again",
    });
  });
}

function buildInventory(rows: readonly Row[], vms: Vm[]): Inventory {
  const racks = new Map(rows.map((row) => [row.rack.text, row.zone.text]));
  const zones = new Map(rows.map((row) => [row.zone.text, row.region.text]));
  const pools = new Set(rows.map((row) => row.pool.text));
  return {
    zones: [...zones]
      .map(([name, region]) => ({ name, region }))
      .sort((a, b) => compareNames(a.name, b.name)),
    racks: [...racks]
      .map(([name, zone]) => ({ name, zone }))
      .sort((a, b) => compareNames(a.name, b.name)),
    pools: [...pools].sort(compareNames).map((name) => ({ name })),
    vms: vms.sort((a, b) => compareNames(a.name, b.name)),
  };
}

/** The register column for each key of a VM. */
const COLUMN_BY_KEY: Record<string, keyof Row> = {
  name: "vm",
  rack: "rack",
  pool: "pool",
  cores: "cores",
  memoryGb: "memory_gb",
  accelerators: "accelerators",
  agent: "agent",
};

function readVm(row: Row, findings: Finding[]): Vm[] {
  const required: Cell[] = [row.vm, row.rack, row.zone, row.region, row.pool];
  const empty = required.filter((cell) => cell.text === "");
  for (const cell of empty) {
    findings.push(findingAt(cell, "is empty; fill it in or remove the line"));
  }
  const vm = parseValue(Vm, {
    name: row.vm.text,
    rack: row.rack.text,
    pool: row.pool.text,
    cores: parseNumber(row.cores),
    memoryGb: parseNumber(row.memory_gb),
    accelerators: parseNumber(row.accelerators, 0),
    agent: row.agent.text === "" ? undefined : row.agent.text,
  }, row.vm.text);
  if (vm.err) {
    for (const cause of vm.val.causes ?? []) {
      const cell = row[COLUMN_BY_KEY[cause.path] ?? "vm"];
      if (!empty.includes(cell)) {
        findings.push(findingAt(cell, `"${cell.text}": ${cause.message}`));
      }
    }
    return [];
  }
  return [vm.val];
}

/** The number in a cell. Other text is returned as it is, so that the schema rejects it. */
function parseNumber(cell: Cell, whenEmpty?: number): unknown {
  if (cell.text === "") {
    return whenEmpty ?? cell.text;
  }
  return /^\d+(\.\d+)?$/.test(cell.text) ? Number(cell.text) : cell.text;
}

function duplicateVms(rows: readonly Row[]): Finding[] {
  const first = new Map<string, Cell>();
  const findings: Finding[] = [];
  for (const { vm } of rows) {
    const earlier = first.get(vm.text);
    if (earlier === undefined) {
      first.set(vm.text, vm);
    } else if (vm.text !== "") {
      findings.push(
        findingAt(
          vm,
          `VM "${vm.text}" is listed twice, first on line ${earlier.line}; remove one line`,
        ),
      );
    }
  }
  return findings;
}

/** Finds racks that are listed in several zones, or zones in several regions. */
function conflictingParents(
  rows: readonly Row[],
  inner: "rack" | "zone",
  outer: "zone" | "region",
): Finding[] {
  const first = new Map<string, Cell>();
  const findings: Finding[] = [];
  for (const row of rows) {
    const name = row[inner].text;
    const cell = row[outer];
    const earlier = first.get(name);
    if (earlier === undefined) {
      first.set(name, cell);
    } else if (earlier.text !== cell.text) {
      findings.push(
        findingAt(
          cell,
          `${inner} "${name}" is in ${outer} "${cell.text}" here, but in "${earlier.text}" on line ${earlier.line}; ` +
            `give the ${inner} one ${outer}`,
        ),
      );
    }
  }
  return findings;
}

/** Reduces an inventory to some zones, with their racks, VMs and the pools of these VMs. */
export function selectZones(
  inventory: Inventory,
  zones: readonly string[],
): Inventory {
  const racks = inventory.racks.filter((rack) => zones.includes(rack.zone));
  const rackNames = new Set(racks.map((rack) => rack.name));
  const vms = inventory.vms.filter((vm) => rackNames.has(vm.rack));
  const pools = new Set(vms.map((vm) => vm.pool));
  return {
    zones: inventory.zones.filter((zone) => zones.includes(zone.name)),
    racks,
    pools: inventory.pools.filter((pool) => pools.has(pool.name)),
    vms,
  };
}
