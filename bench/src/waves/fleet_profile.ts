/**
 * The fleets of the wave bench: Accra and Bern at present, and the fleet of the two-year plan.
 *
 * @module
 */
import { Inventory, Rules } from "@quetzalcove/core";

/** A fleet, its rules and its daily demand cycle. */
export interface FleetProfile {
  name: string;
  inventory: Inventory;
  rules: Rules;
  /** Peak demand of the day as a share of the capacity of each service. */
  load: number;
  /** Hour of the day, UTC, with the peak demand. */
  peakHour: number;
  /** Hour of the day, UTC, at which the maintenance round is requested. */
  startHour: number;
  tickMs: number;
}

interface FleetSize {
  zones: number;
  /** VMs of each service; each service has its own pool. */
  services: Record<string, number>;
}

const VMS_PER_RACK = 4;

const ACCRA_SERVICES = {
  "report-intake": 8,
  "comparison-charts": 6,
  "outburst-alerts": 7,
  photometry: 8,
  "member-portal": 6,
};

const BERN_SERVICES = {
  "route-validation": 7,
  "weather-briefing": 8,
  "airspace-checking": 6,
  "plan-filing": 8,
  "supporting-services": 6,
};

/** Accra's fleet: hardware is scarce, so spare capacity has the highest weight. */
export function accra(load: number): FleetProfile {
  const size = { zones: 3, services: ACCRA_SERVICES };
  return {
    name: "accra",
    inventory: inventoryOf(size),
    rules: rulesOf(size, {
      weights: { buffer: 4, rollout: 1, moves: 1 },
      domain: "rack",
    }),
    load,
    peakHour: 22,
    startHour: 20,
    tickMs: 1_000,
  };
}

/** Bern's fleet: maintenance must fit between the morning peak and the overnight work. */
export function bern(load: number): FleetProfile {
  const size = { zones: 3, services: BERN_SERVICES };
  return {
    name: "bern",
    inventory: inventoryOf(size),
    rules: rulesOf(size, {
      weights: { buffer: 1, rollout: 4, moves: 1 },
      domain: "zone",
      windows: [{ from: "09:00", to: "18:00" }],
    }),
    load,
    peakHour: 6,
    startHour: 9,
    tickMs: 1_000,
  };
}

/** The two-year plan: 1,500 workers in 21 pools and 6 zones. */
export function twoYears(load: number): FleetProfile {
  const pools = 21;
  const vms = 1_500;
  const services: Record<string, number> = {};
  for (let i = 0; i < pools; i++) {
    services[`service-${i}`] = Math.floor(vms / pools) +
      (i < vms % pools ? 1 : 0);
  }
  const size = { zones: 6, services };
  return {
    name: "two-year",
    inventory: inventoryOf(size),
    rules: rulesOf(size, { domain: "zone" }),
    load,
    peakHour: 12,
    startHour: 9,
    tickMs: 10_000,
  };
}

function inventoryOf(size: FleetSize): Inventory {
  const zones = Array.from({ length: size.zones }, (_, i) => `zone-${i}`);
  const byZone = poolsByZone(size);
  const racks = byZone.flatMap((pools, zone) =>
    Array.from({ length: Math.ceil(pools.length / VMS_PER_RACK) }, (_, i) => ({
      name: `rack-${zone}-${i}`,
      zone: zones[zone] ?? "",
    }))
  );
  return Inventory.parse({
    zones: zones.map((name) => ({ name, region: "region-0" })),
    racks,
    pools: Object.keys(size.services).map((name) => ({ name })),
    vms: byZone.flatMap((pools, zone) =>
      pools.map((pool, i) => ({
        name: `vm-${zone}-${String(i).padStart(3, "0")}`,
        rack: `rack-${zone}-${Math.floor(i / VMS_PER_RACK)}`,
        pool,
        cores: 32,
        memoryGb: 128,
        agent: `10.${zone}.${Math.floor(i / 250)}.${i % 250 + 1}:9000`,
      }))
    ),
  });
}

/** Pools of the VMs of each zone: every service is spread evenly over the zones, and over the racks of each zone. */
function poolsByZone(size: FleetSize): string[][] {
  const byZone: string[][] = Array.from({ length: size.zones }, () => []);
  const services = Object.entries(size.services);
  const largest = Math.max(...Object.values(size.services));
  for (let i = 0; i < largest; i++) {
    services.forEach(([name, count], offset) => {
      if (i < count) {
        byZone[(i + offset) % size.zones]?.push(name);
      }
    });
  }
  return byZone;
}

function rulesOf(size: FleetSize, maintenance: Record<string, unknown>): Rules {
  return Rules.parse({
    services: Object.keys(size.services).map((name) => ({ name, pool: name })),
    maintenance: { enabled: true, ...maintenance },
  });
}
