/**
 * Sharing by ownership: rendezvous hashing gives each target to one entry (Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998), and the entry that a request reaches passes it on to an owner.
 *
 * @module
 */
import type { SimulatedRequest } from "./measures.ts";
import { entriesOf, type FleetSetup } from "./router_fleet.ts";
import { REGRANT_MS, type Sharing, VIEW_DELAY_MS } from "./strategy.ts";
import { routes, SLOTS, type World } from "./world.ts";

/** Time until an entry notices that its link to another is dead. */
const LINK_MS = 3_000;

/** Starts a world in which each target has one owner. */
export function owned(world: World, setup: FleetSetup): Sharing {
  const entries = entriesOf(world, setup);
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
      entry.act(entry.router.setAllowance(grant, world.now));
    }
  };
  const arrive = (request: SimulatedRequest, ingress: number): void => {
    const owner = pickOwner(owners, { service: request.service, world });
    const hop = (action: () => void): void => {
      if (owner === ingress) {
        action();
        return;
      }
      messages += 1;
      world.send(action);
    };
    hop(() => {
      entries[owner]?.submit(request, (ending) => {
        hop(() => world.answer(request, ending));
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
      world.events.after(LINK_MS, () => {
        owners = new Map([...owners].filter(([, owner]) => owner !== index));
      });
      world.events.after(REGRANT_MS, () => {
        owners = next;
        apply();
      });
    },
    setTargets: (table) => {
      for (const entry of entries) {
        const delayMs = world.random.between(0, VIEW_DELAY_MS);
        world.events.after(delayMs, () => entry.setTargets(table));
      }
    },
    messages: () => messages,
  };
}

/** An owner of a target of the service, in proportion to how many it owns. */
function pickOwner(
  owners: ReadonlyMap<string, number>,
  { service, world }: { service: string; world: World },
): number {
  const choices = routes().filter((r) =>
    r.service === service && owners.has(r.target)
  );
  const chosen = choices[world.random.below(choices.length)];
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

/** Weight of a pair: FNV-1a followed by the finalizer of MurmurHash3. */
function weight(target: string, entry: number): number {
  let hash = 0x811c9dc5;
  for (const character of `${target}@${entry}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
