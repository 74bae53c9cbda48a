/**
 * Places waiting jobs, class by class; within a class teams take turns.
 *
 * @module
 */
import type { Priority } from "../names.ts";
import type { State } from "../state.ts";
import { nextRun } from "./apply.ts";
import { choosePreemption, chooseRoom } from "./choice.ts";
import { isPressing } from "./deadline.ts";
import { largest, least, type PoolLimits, quotasOf } from "./feasibility.ts";
import { type Job, type JobChange, kindKey } from "./job.ts";
import type { JobIndex, Lane } from "./job_index.ts";
import type { Sizing } from "./learning.ts";
import { addOccupant, type Room, type Rooms, SETTLED_MS } from "./room.ts";
import { dominantShare, type Turn, Turns } from "./turns.ts";
import { addSize, fits, remaining, type Size, zeroSize } from "./size.ts";

/** Most placements in one pass. */
const MAX_PLACEMENTS = 200;
/** Most jobs in one pass for which runs to end are looked for. */
const MAX_PREEMPTIONS = 32;
/** The same for live jobs, which can wait. */
const MAX_LIVE_PREEMPTIONS = 8;
/** Entries of a lane that are tried before the lane counts as blocked. */
const MAX_TRIES = 2;
/** Least number of young runs of a kind at a time while its sizes are unknown. */
const MAX_UNKNOWN_RUNS = 6;
/** VMs of a pool for each further such run. */
const VMS_PER_UNKNOWN_RUN = 4;
/** How long a lane is left out while nothing changes for it. */
const LEFT_OUT_MS = 10_000;
/** How long a live job waits before overnight runs are ended for it. */
const LIVE_PATIENCE_MS = 10_000;

/** What the filling of one pass works on. */
export interface Filling {
  state: State;
  index: JobIndex;
  rooms: Rooms;
  limits: PoolLimits;
  sizing: Sizing;
  at: number;
  changes: JobChange[];
}

/** One round: the jobs of a class, or the overnight jobs that are pressing. */
interface Round {
  priority: Priority;
  pressing: boolean;
}

/** What the jobs of one pool are placed on. */
interface PoolContext {
  rooms: Room[];
  round: Round;
  /** The most that any VM of the pool could ever give. */
  limit: Size;
  /** The most that is free on any VM now. */
  most: Size;
}

const ROUNDS: readonly Round[] = [
  { priority: "urgent", pressing: false },
  { priority: "live", pressing: false },
  { priority: "overnight", pressing: true },
  { priority: "overnight", pressing: false },
];

/** Fills the rooms with waiting jobs and adds the changes. */
export class Filler {
  readonly #filling: Filling;
  readonly #quotas: Map<string, Size>;
  readonly #held = new Map<string, Size>();
  readonly #runsOfKind = new Map<string, number>();
  readonly #taken = new Set<string>();
  #placements = 0;
  #preemptions = 0;

  constructor(filling: Filling) {
    this.#filling = filling;
    this.#quotas = quotasOf(filling.state);
  }

  /** Runs all rounds, the most important class first. */
  fill(): void {
    for (const round of ROUNDS) {
      for (const pool of this.#filling.index.pools()) {
        this.#fillPool(pool, round);
      }
    }
  }

  #fillPool(pool: string, round: Round): void {
    const rooms = this.#filling.rooms.byPool.get(pool) ?? [];
    const open = rooms.filter((room) => room.open);
    const lanes = this.#filling.index.lanes(pool, round.priority);
    if (lanes.size === 0 || open.length === 0) {
      return;
    }
    const limit = this.#filling.limits.get(pool)?.largest ?? zeroSize();
    // What is free only shrinks within a round, so this bound rejects most jobs of a full pool at once.
    const most = largest(open.map((room) => room.free));
    const context = { rooms: open, round, limit, most };
    const candidates = [...lanes.values()]
      .filter((lane) => !this.#isBlocked(lane, context));
    const teams = new Turns(candidates, (team) => this.#share(team));
    let turn = teams.next();
    while (turn !== undefined && this.#placements < MAX_PLACEMENTS) {
      if (!this.#placeFirst(turn, context)) {
        teams.block(turn);
      }
      turn = teams.next();
    }
  }

  /** Whether nothing has changed for a lane that was left out before; tells without reading its jobs. */
  #isBlocked(lane: Lane, { rooms, round, most }: PoolContext): boolean {
    const { at } = this.#filling;
    if (round.pressing && at < (lane.calmUntil ?? 0)) {
      return true;
    }
    if (round.priority === "urgent") {
      return false;
    }
    if (this.#isCapped(lane.key, rooms.length)) {
      return true;
    }
    const { blocked } = lane;
    if (blocked === undefined || at >= blocked.until) {
      return false;
    }
    const quota = this.#quotas.get(lane.team) ?? zeroSize();
    const left = remaining(quota, this.#heldBy(lane.team));
    const hopeless = round.priority === "overnight" &&
      !fits(blocked.need, most);
    return hopeless || !fits(blocked.need, left);
  }

  /** Places the next job of the lane; its cursor does not go back within a round. */
  #placeFirst(
    turn: Turn,
    context: PoolContext,
  ): boolean {
    const { items } = turn.lane;
    if (
      context.round.priority !== "urgent" &&
      this.#isCapped(turn.lane.key, context.rooms.length)
    ) {
      return false;
    }
    let tries = 0;
    let needed: Size | undefined;
    for (; turn.cursor < items.length; turn.cursor += 1) {
      const entry = items[turn.cursor];
      if (entry === undefined || !entry.current) {
        continue;
      }
      const { job } = entry;
      if (this.#taken.has(job.id)) {
        continue;
      }
      if (!this.#inRound(job, context.round)) {
        turn.lane.calmUntil = this.#filling.at + LEFT_OUT_MS;
        return false;
      }
      const attempt = this.#place(job, context);
      if (attempt.placed) {
        return true;
      }
      needed = smaller(needed, attempt.need);
      tries += 1;
      if (tries === MAX_TRIES) {
        break;
      }
    }
    if (needed !== undefined) {
      const until = this.#filling.at + LEFT_OUT_MS;
      turn.lane.blocked = { need: needed, until };
    }
    return false;
  }

  #inRound(job: Job, round: Round): boolean {
    return !round.pressing ||
      isPressing(job, this.#filling.sizing, this.#filling.at);
  }

  #place(job: Job, { rooms, round, limit, most }: PoolContext): Attempt {
    const quota = this.#quotas.get(job.team) ?? zeroSize();
    const need = this.#filling.sizing.reserve(job, least(limit, quota));
    if (!fits(need, remaining(quota, this.#heldBy(job.team)))) {
      return { placed: false, need };
    }
    const room = fits(need, most)
      ? chooseRoom(rooms, job, { need, pressing: round.pressing })
      : undefined;
    if (room !== undefined) {
      this.#commit(job, room, need);
      return { placed: true, need };
    }
    const placed = this.#preempt(job, rooms, need) ||
      (job.priority === "urgent" && this.#placeLean(job, rooms, need));
    return { placed, need };
  }

  /** Starts an urgent job with less memory than it may come to need, rather than not at all. */
  #placeLean(job: Job, rooms: Room[], need: Size): boolean {
    const lean = this.#filling.sizing.lean(job, need);
    const room = chooseRoom(rooms, job, { need: lean, pressing: false });
    if (room === undefined) {
      return this.#preempt(job, rooms, lean);
    }
    this.#commit(job, room, lean);
    return true;
  }

  #preempt(job: Job, rooms: Room[], need: Size): boolean {
    const { at, changes } = this.#filling;
    const waitedMs = at - job.submittedAt;
    const mayPreempt = job.priority === "urgent" ||
      (job.priority === "live" && waitedMs >= LIVE_PATIENCE_MS);
    const most = job.priority === "urgent"
      ? MAX_PREEMPTIONS
      : MAX_LIVE_PREEMPTIONS;
    if (!mayPreempt || this.#preemptions >= most) {
      return false;
    }
    this.#preemptions += 1;
    const choice = choosePreemption(rooms, job, { need, at });
    if (choice === undefined) {
      return false;
    }
    for (const victim of choice.victims) {
      const want = {
        want: "checkpoint",
        cause: job.priority === "urgent" ? "urgent" : "live",
      } as const;
      changes.push({
        type: "want",
        job: victim.job.id,
        run: victim.run.id,
        ...want,
      });
      victim.run = { ...victim.run, ...want };
    }
    this.#commit(job, choice.room, need);
    return true;
  }

  #commit(job: Job, room: Room, size: Size): void {
    const id = nextRun(job);
    const { at, changes } = this.#filling;
    const { vm } = room;
    const incarnation = room.lease.report?.incarnation ?? 0;
    const run = { id, vm, incarnation, size, at, want: "run" } as const;
    changes.push({
      type: "place",
      job: job.id,
      run: id,
      vm,
      incarnation,
      size,
    });
    addOccupant(room, { job, run, size });
    addSize(this.#heldBy(job.team), size);
    const key = kindKey(job);
    this.#runsOfKind.set(key, this.#runsOf(key) + 1);
    this.#taken.add(job.id);
    this.#placements += 1;
  }

  /** Runs of a kind that are too young to show what they use. */
  #runsOf(key: string): number {
    const known = this.#runsOfKind.get(key);
    if (known !== undefined) {
      return known;
    }
    const count = countUnsettled(this.#filling.index, key, this.#filling.at);
    this.#runsOfKind.set(key, count);
    return count;
  }

  #isCapped(key: string, vms: number): boolean {
    return !this.#filling.sizing.known(key) &&
      this.#runsOf(key) >= unknownCap(vms);
  }

  #heldBy(team: string): Size {
    let held = this.#held.get(team);
    if (held === undefined) {
      held = { ...this.#filling.state.jobs.held[team] ?? zeroSize() };
      this.#held.set(team, held);
    }
    return held;
  }

  #share(team: string): number {
    const quota = this.#quotas.get(team);
    return quota === undefined
      ? Infinity
      : dominantShare(this.#heldBy(team), quota);
  }
}

/** Young runs of a kind of unknown size that a pool takes at a time. */
export function unknownCap(vms: number): number {
  return Math.max(MAX_UNKNOWN_RUNS, Math.floor(vms / VMS_PER_UNKNOWN_RUN));
}

/** Number of runs of a kind that are too young to show what they use. */
export function countUnsettled(
  index: JobIndex,
  key: string,
  at: number,
): number {
  let count = 0;
  for (const { run } of index.runsOfKind.get(key) ?? []) {
    count += run !== undefined && at - run.at < SETTLED_MS ? 1 : 0;
  }
  return count;
}

/** What came of trying to place a job. */
interface Attempt {
  placed: boolean;
  need: Size;
}

function smaller(a: Size | undefined, b: Size | undefined): Size | undefined {
  return a === undefined || b === undefined ? a ?? b : least(a, b);
}
