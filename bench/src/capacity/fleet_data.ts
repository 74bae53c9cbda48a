/**
 * Inventories, rules and targets of a given size, in the proportions of the two-year plan.
 *
 * @module
 */
import { type Announcement, Inventory, Rules } from "@quetzalcove/core";

/** The plan's own figures. */
export const PLAN = {
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
const HOSTS = 250;
const SLOTS = 8;
const CONNECTIONS = 64;

/** An inventory of a number of VMs over all zones and pools. */
export function inventoryOf(vms: number): Inventory {
  const zones = Array.from({ length: PLAN.zones }, (_, index) => ({
    name: `zone-${index}`,
    region: `region-${index % PLAN.regions}`,
  }));
  const racks = Array.from(
    { length: Math.ceil(vms / VMS_PER_RACK) },
    (_, index) => ({
      name: `rack-${index}`,
      zone: `zone-${index % PLAN.zones}`,
    }),
  );
  return Inventory.parse({
    zones,
    racks,
    pools: Array.from(
      { length: PLAN.pools },
      (_, index) => ({ name: `pool-${index}` }),
    ),
    vms: Array.from({ length: vms }, (_, index) => ({
      name: `vm-${index}`,
      rack: `rack-${Math.floor(index / VMS_PER_RACK)}`,
      pool: `pool-${index % PLAN.pools}`,
      cores: 64,
      memoryGb: 256,
      accelerators: index % 3 === 0 ? 4 : 0,
    })),
  });
}

/** Rules with a service for each pool and all teams. */
export function rulesOf(): Rules {
  return Rules.parse({
    services: Array.from({ length: PLAN.pools }, (_, index) => ({
      name: `service-${index}`,
      pool: `pool-${index}`,
    })),
    teams: Array.from({ length: PLAN.teams }, (_, index) => ({
      name: `team-${index}`,
      cores: 200,
      memoryGb: 800,
      accelerators: 6,
    })),
  });
}

/** One target on each VM. */
export function targetsOf(inventory: Inventory): Announcement[] {
  return inventory.vms.map((vm, index) => ({
    target: `${vm.name}/service-${index % PLAN.pools}`,
    vm: vm.name,
    service: `service-${index % PLAN.pools}`,
    address: `127.9.${Math.floor(index / HOSTS)}.${(index % HOSTS) + 1}:9000`,
    slots: SLOTS,
    connections: CONNECTIONS,
    condition: "serving",
    incarnation: 1,
    sequence: 0,
  }));
}
