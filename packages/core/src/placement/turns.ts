/**
 * The order in which teams take turns: by their dominant share of quota, after "Dominant Resource Fairness" (Ghodsi et
 * al., NSDI 2011).
 *
 * @module
 */
import type { Lane } from "./job_index.ts";
import type { Size } from "./size.ts";

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

/** A lane and the position up to which it was looked at. */
export interface Turn {
  lane: Lane;
  cursor: number;
}

/** Lanes in order of their team's share. */
export class Turns {
  readonly #teams = new Map<string, Turn[]>();
  readonly #share: (team: string) => number;

  constructor(lanes: Iterable<Lane>, share: (team: string) => number) {
    this.#share = share;
    for (const lane of lanes) {
      const turn = { lane, cursor: 0 };
      const known = this.#teams.get(lane.team);
      if (known === undefined) {
        this.#teams.set(lane.team, [turn]);
      } else {
        known.push(turn);
      }
    }
  }

  /** The next lane of the team with the least share. */
  next(): Turn | undefined {
    let best: Turn | undefined;
    let bestShare = Infinity;
    for (const [team, turns] of this.#teams) {
      const share = this.#share(team);
      if (best === undefined || share < bestShare) {
        best = turns[0];
        bestShare = share;
      }
    }
    return best;
  }

  /** Leaves the lane out for the rest of the round. */
  block(turn: Turn): void {
    const { team } = turn.lane;
    const turns = this.#teams.get(team);
    turns?.splice(turns.indexOf(turn), 1);
    if (turns?.length === 0) {
      this.#teams.delete(team);
    }
  }
}
