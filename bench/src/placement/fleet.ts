/**
 * The fleets of the placement bench: Accra, Bern and the fleet of the two-year plan.
 *
 * @module
 */
import { Inventory, Rules } from "@quetzalcove/core";

/** A fleet with its rules, load and faults. */
export interface Fleet {
  name: string;
  inventory: Inventory;
  rules: Rules;
  /** Teams whose jobs go to each pool. */
  teams: Map<string, string[]>;
  /** Jobs per VM that are queued at the start. */
  backlogPerVm: number;
  durationMs: number;
  /** Number of VMs that crash at a random time. */
  failures: number;
  /** Number of VMs on which every run fails from a random time on. */
  broken: number;
  drains: number;
  leaderLosses: number;
  urgentPerMinute: number;
  livePerMinute: number;
}

interface FleetSize {
  name: string;
  zones: number;
  pools: number;
  vms: number;
  teams: number;
  servicePools: number;
  cores: number;
  memoryGb: number;
  accelerators: number;
}

const VMS_PER_RACK = 4;
const ACCELERATORS_PER_VM = 8;
/** Sum of all quotas as a multiple of the fleet's capacity. */
const QUOTA_OVERCOMMIT = 3;
/** Team whose jobs are urgent, in every pool. */
export const URGENT_TEAM = "alerts";
const MINUTE_MS = 60_000;

const ACCRA: FleetSize = {
  name: "accra",
  zones: 3,
  pools: 5,
  vms: 35,
  teams: 6,
  servicePools: 5,
  cores: 32,
  memoryGb: 128,
  accelerators: 0,
};
const BERN: FleetSize = { ...ACCRA, name: "bern", cores: 64, memoryGb: 256 };
const TWO_YEAR: FleetSize = {
  name: "two-year",
  zones: 6,
  pools: 21,
  vms: 1_500,
  teams: 330,
  servicePools: 10,
  cores: 32,
  memoryGb: 128,
  accelerators: 2_000,
};

/** Returns the three fleets; a quick run has a shorter duration. */
export function fleets(quick: boolean): Fleet[] {
  const share = quick ? 0.3 : 1;
  const small = {
    backlogPerVm: 40,
    durationMs: 30 * MINUTE_MS * share,
    failures: 3,
    broken: 1,
    drains: 8,
    leaderLosses: 3,
    urgentPerMinute: 6,
    livePerMinute: 20,
  };
  return [
    { ...createFleet(ACCRA), ...small },
    { ...createFleet(BERN), ...small, backlogPerVm: 80, livePerMinute: 40 },
    {
      ...createFleet(TWO_YEAR),
      backlogPerVm: 20,
      durationMs: 3 * MINUTE_MS * share,
      failures: 40,
      broken: 15,
      drains: 75,
      leaderLosses: 2,
      urgentPerMinute: 60,
      livePerMinute: 1_500,
    },
  ];
}

function createFleet(
  size: FleetSize,
): Pick<Fleet, "name" | "inventory" | "rules" | "teams"> {
  const inventory = inventoryOf(size);
  const teams = teamsOf(size);
  const names = [...new Set([...teams.values()].flat())];
  const share = QUOTA_OVERCOMMIT / size.teams;
  const quotas = names.map((name) => ({
    name,
    cores: Math.max(size.cores * 2, size.vms * size.cores * share),
    memoryGb: Math.max(size.memoryGb * 2, size.vms * size.memoryGb * share),
    accelerators: Math.max(16, Math.ceil(size.accelerators * share)),
  }));
  const alerts = {
    name: URGENT_TEAM,
    cores: size.vms * size.cores,
    memoryGb: size.vms * size.memoryGb,
    accelerators: size.accelerators,
  };
  const services = inventory.pools.slice(0, size.servicePools).map((pool) => ({
    name: `service-${pool.name}`,
    pool: pool.name,
  }));
  const rules = Rules.parse({ services, teams: [...quotas, alerts] });
  return { name: size.name, inventory, rules, teams };
}

function inventoryOf(size: FleetSize): Inventory {
  const racks = Math.ceil(size.vms / VMS_PER_RACK);
  const acceleratedVms = size.accelerators / ACCELERATORS_PER_VM;
  return Inventory.parse({
    zones: range(size.zones).map((n) => ({
      name: `zone-${n}`,
      region: `region-${n < 3 ? 1 : 2}`,
    })),
    racks: range(racks).map((n) => ({
      name: `rack-${n}`,
      zone: `zone-${n % size.zones}`,
    })),
    pools: range(size.pools).map((n) => ({ name: `pool-${n}` })),
    vms: range(size.vms).map((n) => {
      // VMs with accelerators come last, so that they are concentrated in the last pools.
      const accelerated = n >= size.vms - acceleratedVms;
      return {
        name: `vm-${n}`,
        rack: `rack-${Math.floor(n / VMS_PER_RACK)}`,
        pool: `pool-${Math.floor(n * size.pools / size.vms)}`,
        cores: size.cores,
        memoryGb: size.memoryGb,
        accelerators: accelerated ? ACCELERATORS_PER_VM : 0,
      };
    }),
  });
}

function teamsOf(size: FleetSize): Map<string, string[]> {
  const teams = new Map<string, string[]>();
  for (const pool of range(size.pools)) {
    const members = range(size.teams)
      .filter((team) =>
        team % size.pools === pool || size.teams <= size.pools * 2
      )
      .map((team) => `team-${team}`);
    teams.set(`pool-${pool}`, members);
  }
  return teams;
}

function range(count: number): number[] {
  return Array.from({ length: Math.ceil(count) }, (_, n) => n);
}
