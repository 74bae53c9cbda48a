/**
 * Slot sharing without a leader: slots are divided among the entries once, and entries with queued requests ask their
 * peers for idle slots. Lent slots are not returned.
 *
 * @module
 */
import type { Route, ServiceDescription } from "@quetzalcove/core";
import {
  entriesOf,
  type FleetSetup,
  type SimulatedEntry,
} from "./router_fleet.ts";
import {
  MAX_VIEW_DELAY_MS,
  REGRANT_DELAY_MS,
  type SlotSharing,
} from "./strategy.ts";
import { routes, type Simulation } from "./simulation.ts";

/** Peers asked in a row without success before backing off. */
const MAX_CONSECUTIVE_REQUESTS = 3;
const REQUEST_BACKOFF_MS = 20;

/** Share of its idle slots that an entry lends per request. */
const LENT_SHARE = 0.5;

/** Starts a simulation in which entries lend slots to each other. */
export function lending(
  simulation: Simulation,
  setup: FleetSetup,
): SlotSharing {
  const entries = entriesOf(simulation, setup);
  const peers = entries.map((entry) => new Peer(entry, simulation));
  distribute(peers);
  let messages = 0;
  for (const peer of peers) {
    peer.requestSlots = (service, count) => {
      messages += 2;
      const others = peers.filter((other) =>
        other !== peer && !other.entry.isLost
      );
      const other =
        others[Math.floor(simulation.random.uniform() * others.length)];
      simulation.send(() => {
        const loan = other?.lend(service, count) ?? new Map();
        simulation.send(() => peer.receiveLoan(loan));
      });
    };
  }
  return {
    arrive: (request, index) => {
      entries[index]?.submit(request, (outcome) => {
        simulation.answer(request, outcome);
      });
    },
    loseEntry: (index) => {
      entries[index]?.lose();
      simulation.events.after(
        REGRANT_DELAY_MS,
        () => redistribute(peers, index),
      );
    },
    setTargets: (table) => {
      for (const { entry } of peers) {
        const delayMs = simulation.random.between(0, MAX_VIEW_DELAY_MS);
        simulation.events.after(delayMs, () => entry.setTargets(table));
      }
    },
    messages: () => messages,
  };
}

/** Distributes the slots of every target round-robin. */
function distribute(peers: readonly Peer[]): void {
  let index = 0;
  for (const { target, slots } of routes()) {
    for (let slot = 0; slot < slots; slot++) {
      peers[index % peers.length]?.add(target, 1);
      index += 1;
    }
  }
  peers.forEach((peer) => peer.apply());
}

/** Distributes the slots of a lost entry round-robin among the others. */
function redistribute(peers: readonly Peer[], lost: number): void {
  const others = peers.filter((peer) => peer.entry.index !== lost);
  let index = 0;
  for (const [target, slots] of peers[lost]?.heldSlots ?? []) {
    for (let slot = 0; slot < slots; slot++) {
      others[index % others.length]?.add(target, 1);
      index += 1;
    }
  }
  others.forEach((peer) => peer.apply());
}

/** One entry and the slots it holds. */
class Peer {
  readonly entry: SimulatedEntry;
  readonly heldSlots = new Map<string, number>();
  requestSlots: (service: string, count: number) => void = () => {};
  readonly #simulation: Simulation;
  readonly #services = new Map<string, string>();
  #sequence = 0;
  #isRequestPending = false;
  #emptyReplies = 0;

  constructor(entry: SimulatedEntry, simulation: Simulation) {
    this.entry = entry;
    this.#simulation = simulation;
    for (const route of routes() as readonly Route[]) {
      this.#services.set(route.target, route.service);
    }
    entry.onDecision = () => this.#requestSlotsIfNeeded();
  }

  add(target: string, slots: number): void {
    this.heldSlots.set(target, (this.heldSlots.get(target) ?? 0) + slots);
  }

  /** Passes the held slots to the router. */
  apply(): void {
    this.#sequence += 1;
    this.entry.execute(this.entry.router.setAllowance({
      epoch: 1,
      sequence: this.#sequence,
      base: 0,
      slots: Object.fromEntries(this.heldSlots),
      until: Number.MAX_SAFE_INTEGER,
    }, this.#simulation.now));
  }

  /** Lends idle slots of a service; returns the number lent by target. */
  lend(service: string, count: number): Map<string, number> {
    const loan = new Map<string, number>();
    const description = this.#description(service);
    if (
      this.entry.isLost || description === undefined ||
      description.waiting.live > 0
    ) {
      return loan;
    }
    const idle = description.targets.flatMap((t) =>
      Array.from(
        { length: Math.max(0, t.allowance - t.inFlight) },
        () => t.target,
      )
    );
    const given = Math.min(count, Math.ceil(idle.length * LENT_SHARE));
    for (const target of idle.slice(0, given)) {
      loan.set(target, (loan.get(target) ?? 0) + 1);
      this.add(target, -1);
    }
    if (loan.size > 0) {
      this.apply();
    }
    return loan;
  }

  receiveLoan(loan: ReadonlyMap<string, number>): void {
    this.#isRequestPending = false;
    for (const [target, slots] of loan) {
      this.add(target, slots);
    }
    if (loan.size > 0) {
      this.#emptyReplies = 0;
      this.apply();
      return;
    }
    this.#emptyReplies += 1;
    if (this.#emptyReplies < MAX_CONSECUTIVE_REQUESTS) {
      this.#requestSlotsIfNeeded();
      return;
    }
    this.#emptyReplies = 0;
    this.#isRequestPending = true;
    this.#simulation.events.after(REQUEST_BACKOFF_MS, () => {
      this.#isRequestPending = false;
      this.#requestSlotsIfNeeded();
    });
  }

  #requestSlotsIfNeeded(): void {
    if (this.#isRequestPending) {
      return;
    }
    const descriptions = this.entry.router.describe(this.#simulation.now);
    const overloaded = descriptions.find((description) =>
      description.waiting.live + description.waiting.urgent > 0 &&
      description.targets.every((t) => t.inFlight >= t.allowance)
    );
    if (overloaded !== undefined) {
      this.#isRequestPending = true;
      this.requestSlots(
        overloaded.service,
        overloaded.waiting.live + overloaded.waiting.urgent,
      );
    }
  }

  #description(service: string): ServiceDescription | undefined {
    return this.entry.router.describe(this.#simulation.now).find((
      description,
    ) => description.service === service);
  }
}
