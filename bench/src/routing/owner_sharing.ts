/**
 * Slot sharing by ownership: rendezvous hashing gives each target to one entry (Thaler and Ravishankar, "Using
 * name-based mappings to increase hit rates", 1998), and the entry that receives a request forwards it to an owner.
 *
 * @module
 */
import type { SimulatedRequest } from "./measures.ts";
import { entriesOf, type FleetSetup } from "./router_fleet.ts";
import {
  MAX_VIEW_DELAY_MS,
  REGRANT_DELAY_MS,
  type SlotSharing,
} from "./strategy.ts";
import { routes, type Simulation, SLOTS } from "./simulation.ts";

/** Time until an entry detects that its link to another entry is dead. */
const LINK_TIMEOUT_MS = 3_000;

/** Starts a simulation in which each target has exactly one owner. */
export function owned(simulation: Simulation, setup: FleetSetup): SlotSharing {
  const entries = entriesOf(simulation, setup);
  let owners = ownersOf(entries.map((entry) => entry.index));
  let messages = 0;
  let sequence = 0;
  const apply = (): void => {
    sequence += 1;
    for (const entry of entries) {
      const targets = [...owners].filter(([, owner]) => owner === entry.index);
      const slots = Object.fromEntries(targets.map(([t]) => [t, SLOTS]));
      const until = Number.MAX_SAFE_INTEGER;
      const grant = { epoch: 1, sequence, base: 0, slots, until };
      entry.execute(entry.router.setAllowance(grant, simulation.now));
    }
  };
  const arrive = (request: SimulatedRequest, ingress: number): void => {
    const owner = pickOwner(owners, { service: request.service, simulation });
    const hop = (action: () => void): void => {
      if (owner === ingress) {
        action();
        return;
      }
      messages += 1;
      simulation.send(action);
    };
    hop(() => {
      entries[owner]?.submit(request, (outcome) => {
        hop(() => simulation.answer(request, outcome));
      });
    });
  };
  apply();
  return {
    arrive,
    loseEntry: (index) => {
      entries[index]?.lose();
      const left = entries.filter((entry) => !entry.isLost);
      const next = ownersOf(left.map((entry) => entry.index));
      simulation.events.after(LINK_TIMEOUT_MS, () => {
        owners = new Map([...owners].filter(([, owner]) => owner !== index));
      });
      simulation.events.after(REGRANT_DELAY_MS, () => {
        owners = next;
        apply();
      });
    },
    setTargets: (table) => {
      for (const entry of entries) {
        const delayMs = simulation.random.between(0, MAX_VIEW_DELAY_MS);
        simulation.events.after(delayMs, () => entry.setTargets(table));
      }
    },
    messages: () => messages,
  };
}

/** Picks an owner of the service's targets at random, weighted by the number of targets it owns. */
function pickOwner(
  owners: ReadonlyMap<string, number>,
  { service, simulation }: { service: string; simulation: Simulation },
): number {
  const choices = routes().filter((r) =>
    r.service === service && owners.has(r.target)
  );
  const chosen = choices[simulation.random.below(choices.length)];
  return owners.get(chosen?.target ?? "") ?? 0;
}

function ownersOf(entries: readonly number[]): Map<string, number> {
  return new Map(
    routes().map(({ target }) => {
      const owner = entries.reduce((a, b) =>
        weight(target, b) > weight(target, a) ? b : a
      );
      return [target, owner];
    }),
  );
}

/** Rendezvous weight of a target and an entry: FNV-1a followed by the finalizer of MurmurHash3. */
function weight(target: string, entry: number): number {
  let hash = 0x811c9dc5;
  for (const character of `${target}@${entry}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
