/**
 * Sharing by leases: the leader grants slots to entries with each renewal, in proportion to their need.
 *
 * @module
 */
import { RenewalSchedule, type Route, SlotAllocator } from "@quetzalcove/core";
import {
  entriesOf,
  type FleetSetup,
  type SimulatedEntry,
} from "./router_fleet.ts";
import { type Sharing, VIEW_DELAY_MS } from "./strategy.ts";
import { routes, type World } from "./world.ts";

const EPOCH = 1;

/** Length of an entry's lease. */
export const LEASE_MS = 3_000;

const MARGIN_MS = 300;

/** What may vary. */
export interface LeasedSetup extends FleetSetup {
  /** How long after its last renewal the leader takes an entry for lost, when it is not the lease. */
  regrantMs?: number;
  /** How many times the longest run a lost entry's runs are given to end. */
  drainRuns?: number;
}

/** Starts a world whose slots are leased by the leader. */
export function leased(world: World, setup: LeasedSetup): Sharing {
  const entries = entriesOf(world, setup);
  const ledger = new SlotAllocator({
    epoch: EPOCH,
    leaseMs: setup.regrantMs ?? LEASE_MS,
    drainRuns: setup.drainRuns,
    marginMs: MARGIN_MS,
    entries: [],
  }, world.now);
  ledger.setTargets(routes(), world.now);
  const renewals = entries.map((entry) =>
    new Renewals(entry, { world, ledger })
  );
  renewals.forEach((renewal) => renewal.start());
  return {
    arrive: (request, index) => {
      entries[index]?.submit(request, (ending) => {
        world.answer(request, ending);
      });
    },
    loseEntry: (index) => entries[index]?.lose(),
    cutOff: (index) => renewals[index]?.cut(),
    setTargets: (table) => announce(world, { table, entries, ledger }),
    messages: () => renewals.reduce((sum, { sent }) => sum + 2 * sent, 0),
  };
}

function announce(
  world: World,
  { table, entries, ledger }: {
    table: readonly Route[];
    entries: readonly SimulatedEntry[];
    ledger: SlotAllocator;
  },
): void {
  ledger.setTargets(table, world.now);
  for (const entry of entries) {
    const delayMs = world.random.between(0, VIEW_DELAY_MS);
    world.events.after(delayMs, () => entry.setTargets(table));
  }
}

/** The lease renewals of one entry. */
class Renewals {
  sent = 0;
  readonly #entry: SimulatedEntry;
  readonly #world: World;
  readonly #ledger: SlotAllocator;
  readonly #pace: RenewalSchedule;
  #pending = false;
  #isCut = false;
  #scheduledAt = Number.POSITIVE_INFINITY;

  constructor(
    entry: SimulatedEntry,
    { world, ledger }: { world: World; ledger: SlotAllocator },
  ) {
    this.#entry = entry;
    this.#world = world;
    this.#ledger = ledger;
    this.#pace = new RenewalSchedule(world.random.uniform);
  }

  start(): void {
    this.#entry.onDecision = () => this.#schedule();
    const delayMs = this.#world.random.between(0, 100);
    this.#world.events.after(delayMs, () => this.#renew());
  }

  /** Loses everything that is sent to the leader from now on. */
  cut(): void {
    this.#isCut = true;
  }

  #schedule(): void {
    const dueAt = Math.max(this.#world.now, this.#pace.dueAt(this.#short()));
    if (this.#pending || dueAt >= this.#scheduledAt) {
      return;
    }
    this.#scheduledAt = dueAt;
    this.#world.events.at(dueAt, () => {
      if (this.#scheduledAt === dueAt && !this.#pending) {
        this.#renew();
      }
    });
  }

  #renew(): void {
    if (this.#entry.isLost || this.#isCut) {
      return;
    }
    this.#pending = true;
    this.sent += 1;
    const sentAt = this.#world.now;
    this.#pace.sent(this.#short(), sentAt);
    const report = this.#entry.router.report(EPOCH, sentAt);
    this.#world.send(() => {
      const grant = this.#ledger.report(report, this.#world.now);
      this.#world.send(() => {
        this.#pending = false;
        this.#scheduledAt = Number.POSITIVE_INFINITY;
        const allowance = grant && { ...grant, until: sentAt + LEASE_MS };
        const { now } = this.#world;
        this.#entry.act(
          allowance === undefined
            ? []
            : this.#entry.router.setAllowance(allowance, now),
        );
        this.#pace.answered(this.#short());
        this.#schedule();
      });
    });
  }

  #short(): boolean {
    return this.#entry.router.needsSlots();
  }
}
