/**
 * One run of one way of sharing slots under one load, with at most one fault.
 *
 * @module
 */
import type { Measures } from "./measures.ts";
import type { Sharing, Strategy } from "./strategy.ts";
import { routes, type Setting, World } from "./world.ts";

/** Something that goes wrong during a run. */
export type Fault =
  | "none"
  | "entry lost"
  | "target lost"
  | "target slow"
  | "target failing";

/** How a run is set up. */
export interface TrialSetup extends Omit<Setting, "excess" | "entries"> {
  fault?: Fault;
  faultAtMs?: number;
  /** Further events of the run. */
  script?: (world: World, sharing: Sharing) => void;
}

/** What a run showed. */
export interface Trial {
  strategy: string;
  setup: TrialSetup;
  measures: Measures;
  /** The most requests present at one target. */
  mostPresent: number;
  /** Requests that a target accepted beyond its slots. */
  beyondSlots: number;
  /** Share of the sends that were retries. */
  retryShare: number;
  messagesPerSecond: number;
}

/** Time until the balancer stops sending to a lost entry. */
const BALANCER_MS = 1_000;

/** Time until the announcements of a lost target are missed. */
const ANNOUNCEMENT_MS = 3_000;

/** Position in the table of the target that faults befall. */
const FAULTY_TARGET = 13;

/** The entry that faults befall. */
export const FAULTY_ENTRY = 3;

/** Runs a trial. */
export function runTrial(strategy: Strategy, setup: TrialSetup): Trial {
  const { excess, entries } = strategy;
  const world = new World({ ...setup, excess, entries });
  const sharing = strategy.start(world);
  world.offer(sharing.arrive);
  const { fault, faultAtMs } = setup;
  if (fault !== undefined && faultAtMs !== undefined) {
    world.events.at(faultAtMs, () => bringAbout(fault, world, sharing));
  }
  setup.script?.(world, sharing);
  world.run();
  const targets = [...world.targets.values()];
  const { sends, retries } = world.measures;
  return {
    strategy: strategy.name,
    setup,
    measures: world.measures,
    mostPresent: Math.max(...targets.map((target) => target.mostPresent)),
    beyondSlots: targets.reduce((sum, target) => sum + target.beyondSlots, 0),
    retryShare: retries / Math.max(1, sends),
    messagesPerSecond: sharing.messages() * 1_000 / world.end,
  };
}

function bringAbout(fault: Fault, world: World, sharing: Sharing): void {
  const table = routes();
  const victim = table[FAULTY_TARGET]?.target ?? "";
  const target = world.targets.get(victim);
  if (target === undefined) {
    return;
  }
  switch (fault) {
    case "entry lost":
      loseEntry(world, sharing);
      return;
    case "target lost":
      target.lose();
      world.events.after(ANNOUNCEMENT_MS, () => {
        sharing.setTargets(table.filter((r) => r.target !== victim));
      });
      return;
    case "target slow":
      target.condition = "slow";
      return;
    case "target failing":
      target.condition = "failing";
      return;
    default:
  }
}

/** Loses an entry; the balancer notices later. */
export function loseEntry(world: World, sharing: Sharing): void {
  world.lost.add(FAULTY_ENTRY);
  sharing.loseEntry(FAULTY_ENTRY);
  dropFromBalancer(world);
}

/** Lets the balancer notice that an entry fails its health check. */
export function dropFromBalancer(world: World): void {
  world.events.after(BALANCER_MS, () => {
    world.balanced.splice(world.balanced.indexOf(FAULTY_ENTRY), 1);
  });
}
