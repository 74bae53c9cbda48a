/**
 * Inventories, rules and targets of a given fleet size, in the proportions of the two-year plan.
 *
 * @module
 */
import { type Announcement, Inventory, Rules } from "@quetzalcove/core";

/** Fleet size of the two-year plan. */
export const TWO_YEAR_PLAN = {
  workers: 1_500,
  accelerators: 2_000,
  pools: 21,
  teams: 330,
  regions: 2,
  zones: 6,
  entries: 9,
  replicas: 5,
  changesPerDay: 1_800,
} as const;

const VMS_PER_RACK = 4;
const ADDRESSES_PER_NETWORK = 250;
const SLOTS_PER_TARGET = 8;
const CONNECTIONS_PER_TARGET = 64;

/** Returns an inventory with a number of VMs, spread over all zones and pools. */
export function inventoryOf(vms: number): Inventory {
  const zones = Array.from({ length: TWO_YEAR_PLAN.zones }, (_, index) => ({
    name: `zone-${index}`,
    region: `region-${index % TWO_YEAR_PLAN.regions}`,
  }));
  const racks = Array.from(
    { length: Math.ceil(vms / VMS_PER_RACK) },
    (_, index) => ({
      name: `rack-${index}`,
      zone: `zone-${index % TWO_YEAR_PLAN.zones}`,
    }),
  );
  return Inventory.parse({
    zones,
    racks,
    pools: Array.from(
      { length: TWO_YEAR_PLAN.pools },
      (_, index) => ({ name: `pool-${index}` }),
    ),
    vms: Array.from({ length: vms }, (_, index) => ({
      name: `vm-${index}`,
      rack: `rack-${Math.floor(index / VMS_PER_RACK)}`,
      pool: `pool-${index % TWO_YEAR_PLAN.pools}`,
      cores: 64,
      memoryGb: 256,
      accelerators: index % 3 === 0 ? 4 : 0,
    })),
  });
}

/** Returns rules with one service per pool, and all teams. */
export function rulesOf(): Rules {
  return Rules.parse({
    services: Array.from({ length: TWO_YEAR_PLAN.pools }, (_, index) => ({
      name: `service-${index}`,
      pool: `pool-${index}`,
    })),
    teams: Array.from({ length: TWO_YEAR_PLAN.teams }, (_, index) => ({
      name: `team-${index}`,
      cores: 200,
      memoryGb: 800,
      accelerators: 6,
    })),
  });
}

/** Returns one target per VM. */
export function targetsOf(inventory: Inventory): Announcement[] {
  return inventory.vms.map((vm, index) => ({
    target: `${vm.name}/service-${index % TWO_YEAR_PLAN.pools}`,
    vm: vm.name,
    service: `service-${index % TWO_YEAR_PLAN.pools}`,
    address: `127.9.${Math.floor(index / ADDRESSES_PER_NETWORK)}.${
      (index % ADDRESSES_PER_NETWORK) + 1
    }:9000`,
    slots: SLOTS_PER_TARGET,
    connections: CONNECTIONS_PER_TARGET,
    condition: "serving",
    incarnation: 1,
    sequence: 0,
  }));
}
