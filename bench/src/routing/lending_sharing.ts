/**
 * Sharing by credits without a leader: slots are split once, and entries with waiting requests ask their peers for
 * idle ones, which then stay where they went.
 *
 * @module
 */
import type { Route, ServiceDescription } from "@quetzalcove/core";
import {
  entriesOf,
  type FleetSetup,
  type SimulatedEntry,
} from "./router_fleet.ts";
import { REGRANT_MS, type Sharing, VIEW_DELAY_MS } from "./strategy.ts";
import { routes, type World } from "./world.ts";

/** Peers asked in a row before a pause. */
const MAX_ASKS = 3;
const PAUSE_MS = 20;

/** Share of its idle slots that an entry gives away. */
const GIVEN_SHARE = 0.5;

/** Starts a world whose slots are lent among the entries. */
export function lending(world: World, setup: FleetSetup): Sharing {
  const entries = entriesOf(world, setup);
  const peers = entries.map((entry) => new Peer(entry, world));
  split(peers);
  let messages = 0;
  for (const peer of peers) {
    peer.ask = (service, count) => {
      messages += 2;
      const others = peers.filter((other) =>
        other !== peer && !other.entry.isLost
      );
      const other = others[Math.floor(world.random.uniform() * others.length)];
      world.send(() => {
        const gift = other?.give(service, count) ?? new Map();
        world.send(() => peer.receive(gift));
      });
    };
  }
  return {
    arrive: (request, index) => {
      entries[index]?.submit(request, (ending) => {
        world.answer(request, ending);
      });
    },
    loseEntry: (index) => {
      entries[index]?.lose();
      world.events.after(REGRANT_MS, () => inherit(peers, index));
    },
    setTargets: (table) => {
      for (const { entry } of peers) {
        const delayMs = world.random.between(0, VIEW_DELAY_MS);
        world.events.after(delayMs, () => entry.setTargets(table));
      }
    },
    messages: () => messages,
  };
}

/** Deals the slots of every target out in turn. */
function split(peers: readonly Peer[]): void {
  let turn = 0;
  for (const { target, slots } of routes()) {
    for (let slot = 0; slot < slots; slot++) {
      peers[turn % peers.length]?.add(target, 1);
      turn += 1;
    }
  }
  peers.forEach((peer) => peer.apply());
}

/** Gives the credits of a lost entry to the others in turn. */
function inherit(peers: readonly Peer[], lost: number): void {
  const others = peers.filter((peer) => peer.entry.index !== lost);
  let turn = 0;
  for (const [target, slots] of peers[lost]?.credits ?? []) {
    for (let slot = 0; slot < slots; slot++) {
      others[turn % others.length]?.add(target, 1);
      turn += 1;
    }
  }
  others.forEach((peer) => peer.apply());
}

/** One entry and the credits it holds. */
class Peer {
  readonly entry: SimulatedEntry;
  readonly credits = new Map<string, number>();
  ask: (service: string, count: number) => void = () => {};
  readonly #world: World;
  readonly #services = new Map<string, string>();
  #sequence = 0;
  #asking = false;
  #asks = 0;

  constructor(entry: SimulatedEntry, world: World) {
    this.entry = entry;
    this.#world = world;
    for (const route of routes() as readonly Route[]) {
      this.#services.set(route.target, route.service);
    }
    entry.onDecision = () => this.#askIfShort();
  }

  add(target: string, slots: number): void {
    this.credits.set(target, (this.credits.get(target) ?? 0) + slots);
  }

  /** Puts the credits in force. */
  apply(): void {
    this.#sequence += 1;
    this.entry.act(this.entry.router.setAllowance({
      epoch: 1,
      sequence: this.#sequence,
      base: 0,
      slots: Object.fromEntries(this.credits),
      until: Number.MAX_SAFE_INTEGER,
    }, this.#world.now));
  }

  /** Gives idle slots of a service away. */
  give(service: string, count: number): Map<string, number> {
    const gift = new Map<string, number>();
    const pool = this.#pool(service);
    if (this.entry.isLost || pool === undefined || pool.waiting.live > 0) {
      return gift;
    }
    const idle = pool.targets.flatMap((t) =>
      Array.from(
        { length: Math.max(0, t.allowance - t.inFlight) },
        () => t.target,
      )
    );
    const given = Math.min(count, Math.ceil(idle.length * GIVEN_SHARE));
    for (const target of idle.slice(0, given)) {
      gift.set(target, (gift.get(target) ?? 0) + 1);
      this.add(target, -1);
    }
    if (gift.size > 0) {
      this.apply();
    }
    return gift;
  }

  receive(gift: ReadonlyMap<string, number>): void {
    this.#asking = false;
    for (const [target, slots] of gift) {
      this.add(target, slots);
    }
    if (gift.size > 0) {
      this.#asks = 0;
      this.apply();
      return;
    }
    this.#asks += 1;
    if (this.#asks < MAX_ASKS) {
      this.#askIfShort();
      return;
    }
    this.#asks = 0;
    this.#asking = true;
    this.#world.events.after(PAUSE_MS, () => {
      this.#asking = false;
      this.#askIfShort();
    });
  }

  #askIfShort(): void {
    if (this.#asking) {
      return;
    }
    const pools = this.entry.router.describe(this.#world.now);
    const short = pools.find((pool) =>
      pool.waiting.live + pool.waiting.urgent > 0 &&
      pool.targets.every((t) => t.inFlight >= t.allowance)
    );
    if (short !== undefined) {
      this.#asking = true;
      this.ask(short.service, short.waiting.live + short.waiting.urgent);
    }
  }

  #pool(service: string): ServiceDescription | undefined {
    return this.entry.router.describe(this.#world.now).find((pool) =>
      pool.service === service
    );
  }
}
