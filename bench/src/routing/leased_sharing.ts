/**
 * Slot sharing by leases: with each renewal, the leader grants slots to entries in proportion to their demand.
 *
 * @module
 */
import { RenewalSchedule, type Route, SlotAllocator } from "@quetzalcove/core";
import {
  entriesOf,
  type FleetSetup,
  type SimulatedEntry,
} from "./router_fleet.ts";
import { MAX_VIEW_DELAY_MS, type SlotSharing } from "./strategy.ts";
import { routes, type Simulation } from "./simulation.ts";

const EPOCH = 1;

/** Lease duration of an entry. */
export const LEASE_MS = 3_000;

const DRIFT_MARGIN_MS = 300;

/** Options of the leased strategy. */
export interface LeasedSetup extends FleetSetup {
  /** Time after its last renewal at which the leader considers an entry lost; defaults to the lease duration. */
  regrantMs?: number;
  /** Time that a lost entry's runs are given to end, as a multiple of the longest run. */
  drainRuns?: number;
}

/** Starts a simulation in which the leader leases slots to entries. */
export function leased(
  simulation: Simulation,
  setup: LeasedSetup,
): SlotSharing {
  const entries = entriesOf(simulation, setup);
  const allocator = new SlotAllocator({
    epoch: EPOCH,
    leaseMs: setup.regrantMs ?? LEASE_MS,
    drainRuns: setup.drainRuns,
    marginMs: DRIFT_MARGIN_MS,
    entries: [],
  }, simulation.now);
  allocator.setTargets(routes(), simulation.now);
  const renewals = entries.map((entry) =>
    new LeaseRenewals(entry, { simulation, allocator })
  );
  renewals.forEach((renewal) => renewal.start());
  return {
    arrive: (request, index) => {
      entries[index]?.submit(request, (outcome) => {
        simulation.answer(request, outcome);
      });
    },
    loseEntry: (index) => entries[index]?.lose(),
    cutOff: (index) => renewals[index]?.cutOff(),
    setTargets: (table) =>
      updateTargets(simulation, { table, entries, allocator }),
    messages: () => renewals.reduce((sum, { sent }) => sum + 2 * sent, 0),
  };
}

function updateTargets(
  simulation: Simulation,
  { table, entries, allocator }: {
    table: readonly Route[];
    entries: readonly SimulatedEntry[];
    allocator: SlotAllocator;
  },
): void {
  allocator.setTargets(table, simulation.now);
  for (const entry of entries) {
    const delayMs = simulation.random.between(0, MAX_VIEW_DELAY_MS);
    simulation.events.after(delayMs, () => entry.setTargets(table));
  }
}

/** Lease renewals of one entry. */
class LeaseRenewals {
  sent = 0;
  readonly #entry: SimulatedEntry;
  readonly #simulation: Simulation;
  readonly #allocator: SlotAllocator;
  readonly #renewalSchedule: RenewalSchedule;
  #isRenewalPending = false;
  #isCutOff = false;
  #scheduledAt = Number.POSITIVE_INFINITY;

  constructor(
    entry: SimulatedEntry,
    { simulation, allocator }: {
      simulation: Simulation;
      allocator: SlotAllocator;
    },
  ) {
    this.#entry = entry;
    this.#simulation = simulation;
    this.#allocator = allocator;
    this.#renewalSchedule = new RenewalSchedule(simulation.random.uniform);
  }

  start(): void {
    this.#entry.onDecision = () => this.#schedule();
    const delayMs = this.#simulation.random.between(0, 100);
    this.#simulation.events.after(delayMs, () => this.#renew());
  }

  /** Drops all further messages to the leader. */
  cutOff(): void {
    this.#isCutOff = true;
  }

  #schedule(): void {
    const dueAt = Math.max(
      this.#simulation.now,
      this.#renewalSchedule.dueAt(this.#needsSlots()),
    );
    if (this.#isRenewalPending || dueAt >= this.#scheduledAt) {
      return;
    }
    this.#scheduledAt = dueAt;
    this.#simulation.events.at(dueAt, () => {
      if (this.#scheduledAt === dueAt && !this.#isRenewalPending) {
        this.#renew();
      }
    });
  }

  #renew(): void {
    if (this.#entry.isLost || this.#isCutOff) {
      return;
    }
    this.#isRenewalPending = true;
    this.sent += 1;
    const sentAt = this.#simulation.now;
    this.#renewalSchedule.sent(this.#needsSlots(), sentAt);
    const report = this.#entry.router.report(EPOCH, sentAt);
    this.#simulation.send(() => {
      const grant = this.#allocator.report(report, this.#simulation.now);
      this.#simulation.send(() => {
        this.#isRenewalPending = false;
        this.#scheduledAt = Number.POSITIVE_INFINITY;
        const allowance = grant && { ...grant, until: sentAt + LEASE_MS };
        const { now } = this.#simulation;
        this.#entry.execute(
          allowance === undefined
            ? []
            : this.#entry.router.setAllowance(allowance, now),
        );
        this.#renewalSchedule.answered(this.#needsSlots());
        this.#schedule();
      });
    });
  }

  #needsSlots(): boolean {
    return this.#entry.router.needsSlots();
  }
}
