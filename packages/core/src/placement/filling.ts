/**
 * Places waiting jobs. Teams take turns by their dominant share of quota, after "Dominant Resource Fairness" (Ghodsi
 * et al., NSDI 2011).
 *
 * @module
 */
import type { Priority } from "../names.ts";
import type { State } from "../state.ts";
import { nextRun, quotasOf } from "./apply.ts";
import { choosePreemption, chooseRoom } from "./choice.ts";
import { isPressing } from "./deadline.ts";
import { largest, least, type PoolLimits } from "./feasibility.ts";
import { type Job, type JobChange, kindKey } from "./job.ts";
import type { JobIndex, Lane } from "./job_index.ts";
import type { Sizing } from "./learning.ts";
import { addOccupant, type Room, type Rooms } from "./room.ts";
import { addSize, fits, remaining, type Size, zeroSize } from "./size.ts";

/** Most placements in one pass. */
export const MAX_PLACEMENTS = 512;
/** Most placements in one pass that end other runs. */
const MAX_PREEMPTIONS = 32;
/** Entries of a lane that are tried before the lane counts as blocked. */
const MAX_TRIES = 3;
/** Runs of a kind at a time while its sizes are unknown. */
export const MAX_UNKNOWN_RUNS = 6;
/** How long a live job waits before overnight runs are ended for it. */
const LIVE_PATIENCE_MS = 5_000;

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
    const limit = largest(this.#filling.limits.get(pool) ?? []);
    const teams = new Turns([...lanes.values()], (team) => this.#share(team));
    let lane = teams.next();
    while (lane !== undefined && this.#placements < MAX_PLACEMENTS) {
      const placed = this.#placeFirst(lane, { rooms: open, round, limit });
      if (!placed) {
        teams.block(lane);
      }
      lane = teams.next();
    }
  }

  #placeFirst(
    lane: Lane,
    context: { rooms: Room[]; round: Round; limit: Size },
  ): boolean {
    let tries = 0;
    for (const job of lane.items) {
      if (!this.#waits(job)) {
        continue;
      }
      if (tries === MAX_TRIES || !this.#inRound(job, context.round)) {
        return false;
      }
      tries += 1;
      if (this.#place(job, context)) {
        return true;
      }
    }
    return false;
  }

  #waits(job: Job): boolean {
    return this.#filling.index.isCurrent(job) && !this.#taken.has(job.id);
  }

  #inRound(job: Job, round: Round): boolean {
    return !round.pressing ||
      isPressing(job, this.#filling.sizing, this.#filling.at);
  }

  #place(
    job: Job,
    { rooms, round, limit }: { rooms: Room[]; round: Round; limit: Size },
  ): boolean {
    const quota = this.#quotas.get(job.team) ?? zeroSize();
    const need = this.#filling.sizing.reserve(job, least(limit, quota));
    const held = this.#heldBy(job.team);
    if (!fits(need, remaining(quota, held)) || this.#isCapped(job)) {
      return false;
    }
    const room = chooseRoom(rooms, job, { need, pressing: round.pressing });
    if (room !== undefined) {
      this.#commit(job, room, need);
      return true;
    }
    return this.#preempt(job, rooms, need);
  }

  #preempt(job: Job, rooms: Room[], need: Size): boolean {
    const { at, changes } = this.#filling;
    const waitedMs = at - job.submittedAt;
    const mayPreempt = job.priority === "urgent" ||
      (job.priority === "live" && waitedMs >= LIVE_PATIENCE_MS);
    if (!mayPreempt || this.#preemptions >= MAX_PREEMPTIONS) {
      return false;
    }
    const choice = choosePreemption(rooms, job, { need, at });
    if (choice === undefined) {
      return false;
    }
    this.#preemptions += 1;
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
    changes.push({ type: "place", job: job.id, run: id, vm: room.vm, size });
    addOccupant(room, {
      job,
      run: { id, vm: room.vm, size, at, want: "run" },
      size,
    });
    addSize(this.#heldBy(job.team), size);
    const key = kindKey(job);
    this.#runsOfKind.set(key, this.#runsOf(key) + 1);
    this.#taken.add(job.id);
    this.#placements += 1;
  }

  #runsOf(key: string): number {
    return this.#runsOfKind.get(key) ??
      this.#filling.index.runsOfKind.get(key) ?? 0;
  }

  #isCapped(job: Job): boolean {
    const key = kindKey(job);
    return job.priority !== "urgent" && !this.#filling.sizing.known(key) &&
      this.#runsOf(key) >= MAX_UNKNOWN_RUNS;
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

/** The largest share of its quota that a team holds. */
export function dominantShare(held: Size, quota: Size): number {
  return Math.max(
    ratio(held.millicores, quota.millicores),
    ratio(held.memoryMb, quota.memoryMb),
    ratio(held.accelerators, quota.accelerators),
  );
}

function ratio(part: number, whole: number): number {
  return part === 0 ? 0 : part / whole;
}

/** Lanes in order of their team's share. */
class Turns {
  readonly #teams = new Map<string, Lane[]>();
  readonly #share: (team: string) => number;

  constructor(lanes: Lane[], share: (team: string) => number) {
    this.#share = share;
    for (const lane of lanes) {
      const known = this.#teams.get(lane.team);
      if (known === undefined) {
        this.#teams.set(lane.team, [lane]);
      } else {
        known.push(lane);
      }
    }
  }

  /** The next lane of the team with the least share. */
  next(): Lane | undefined {
    let best: Lane | undefined;
    let bestShare = Infinity;
    for (const [team, lanes] of this.#teams) {
      const share = this.#share(team);
      if (best === undefined || share < bestShare) {
        best = lanes[0];
        bestShare = share;
      }
    }
    return best;
  }

  /** Leaves the lane out for the rest of the round. */
  block(lane: Lane): void {
    const lanes = this.#teams.get(lane.team);
    lanes?.splice(lanes.indexOf(lane), 1);
    if (lanes?.length === 0) {
      this.#teams.delete(lane.team);
    }
  }
}
