/**
 * The fleets of the placement bench: Accra, Bern and the two-year size.
 *
 * @module
 */
import { Inventory, Rules } from "@quetzalcove/core";

/** A fleet, its rules and how it is loaded. */
export interface Fleet {
  name: string;
  inventory: Inventory;
  rules: Rules;
  /** Teams whose jobs go to each pool. */
  teams: Map<string, string[]>;
  /** Jobs that wait at the beginning, for each VM. */
  backlogPerVm: number;
  durationMs: number;
  /** VMs that fail at a random time. */
  failures: number;
  /** VMs that fail everything from a random time on. */
  broken: number;
  drains: number;
  leaderLosses: number;
  urgentPerMinute: number;
  livePerMinute: number;
}

interface Shape {
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
/** How many times the fleet all quotas together grant. */
const QUOTA_OVERCOMMIT = 3;
/** The team of each pool whose jobs are urgent. */
export const URGENT_TEAM = "alerts";
const MINUTE_MS = 60_000;

const ACCRA: Shape = {
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
const BERN: Shape = { ...ACCRA, name: "bern", cores: 64, memoryGb: 256 };
const TWO_YEAR: Shape = {
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

/** The three fleets; a quick run is shorter. */
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
    { ...build(ACCRA), ...small },
    { ...build(BERN), ...small, backlogPerVm: 80, livePerMinute: 40 },
    {
      ...build(TWO_YEAR),
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

function build(
  shape: Shape,
): Pick<Fleet, "name" | "inventory" | "rules" | "teams"> {
  const inventory = inventoryOf(shape);
  const teams = teamsOf(shape);
  const names = [...new Set([...teams.values()].flat())];
  const share = QUOTA_OVERCOMMIT / shape.teams;
  const quotas = names.map((name) => ({
    name,
    cores: Math.max(shape.cores * 2, shape.vms * shape.cores * share),
    memoryGb: Math.max(shape.memoryGb * 2, shape.vms * shape.memoryGb * share),
    accelerators: Math.max(16, Math.ceil(shape.accelerators * share)),
  }));
  const alerts = {
    name: URGENT_TEAM,
    cores: shape.vms * shape.cores,
    memoryGb: shape.vms * shape.memoryGb,
    accelerators: shape.accelerators,
  };
  const services = inventory.pools.slice(0, shape.servicePools).map((pool) => ({
    name: `service-${pool.name}`,
    pool: pool.name,
  }));
  const rules = Rules.parse({ services, teams: [...quotas, alerts] });
  return { name: shape.name, inventory, rules, teams };
}

function inventoryOf(shape: Shape): Inventory {
  const racks = Math.ceil(shape.vms / VMS_PER_RACK);
  const withAccelerators = shape.accelerators / ACCELERATORS_PER_VM;
  return Inventory.parse({
    zones: range(shape.zones).map((n) => ({
      name: `zone-${n}`,
      region: `region-${n < 3 ? 1 : 2}`,
    })),
    racks: range(racks).map((n) => ({
      name: `rack-${n}`,
      zone: `zone-${n % shape.zones}`,
    })),
    pools: range(shape.pools).map((n) => ({ name: `pool-${n}` })),
    vms: range(shape.vms).map((n) => {
      // VMs with accelerators are at the end, so that they fill the last pools.
      const accelerated = n >= shape.vms - withAccelerators;
      return {
        name: `vm-${n}`,
        rack: `rack-${Math.floor(n / VMS_PER_RACK)}`,
        pool: `pool-${Math.floor(n * shape.pools / shape.vms)}`,
        cores: shape.cores,
        memoryGb: shape.memoryGb,
        accelerators: accelerated ? ACCELERATORS_PER_VM : 0,
      };
    }),
  });
}

function teamsOf(shape: Shape): Map<string, string[]> {
  const teams = new Map<string, string[]>();
  for (const pool of range(shape.pools)) {
    const members = range(shape.teams)
      .filter((team) =>
        team % shape.pools === pool || shape.teams <= shape.pools * 2
      )
      .map((team) => `team-${team}`);
    teams.set(`pool-${pool}`, members);
  }
  return teams;
}

function range(count: number): number[] {
  return Array.from({ length: Math.ceil(count) }, (_, n) => n);
}
