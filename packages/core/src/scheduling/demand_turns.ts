/**
 * Which pool will be short of room next, from the times at which demand rose before.
 *
 * Answers the pattern of queues whose demand rises one after the other, again and again: a VM takes longer to change its
 * pool than callers like to wait, so pools grow just before their turn. It is a seasonal naive forecast (Hyndman and
 * Athanasopoulos, "Forecasting: Principles and Practice", section 5.2), whose season is the time between two rises.
 *
 * @module
 */

/** Span over which arriving work is summed up, in milliseconds: some jobs of a queue of large ones. */
const WINDOW_MS = 1_000;

/** Share of the highest demand of all pools from which on a pool's demand counts as risen, and below which as fallen. */
const RISEN_SHARE = 0.3;
const FALLEN_SHARE = 0.15;

/** Time for which demand must stay up to count as a rise, in milliseconds; a single large job passes sooner. */
const STEADY_MS = 600;

/** Time before a rise shows at which a pool begins to grow, in ms: a move, a first report, and the start of the rise. */
const LEAD_MS = 2_500;

/** Time for which a rise that is late is waited for, in milliseconds. */
const PATIENCE_MS = 1_000;

/** Share by which two spans between rises may differ and count as one season. */
const TOLERANCE = 0.15;

/** Shortest and longest season, in milliseconds: VMs could not follow a shorter one, and little is known of a longer. */
const SHORTEST_SEASON_MS = 6_000;
const LONGEST_SEASON_MS = 600_000;

/** Share of the demand of the last rise for which a pool grows ahead; the rest follows the arrivals. */
const AHEAD_SHARE = 0.7;

interface Arrival {
  at: number;
  coreMs: number;
}

/** Demand of one pool over time. */
interface Turns {
  recent: Arrival[];
  /** Work of the recent arrivals, in core-milliseconds. */
  sum: number;
  /** When demand last went up, and whether it has stayed up long enough to count. */
  upSince: number | undefined;
  isRisen: boolean;
  /** The last two rises, the later one last. */
  rises: number[];
  /** Highest demand of the present rise and of the one before, in cores. */
  height: number;
  lastHeight: number;
}

/** Forecasts the demand of pools. Times are monotonic, in milliseconds. */
export class DemandTurns {
  readonly #pools = new Map<string, Turns>();
  #highest = 0;

  /** Notes a job whose tasks need so many core-milliseconds. */
  note(pool: string, coreMs: number, now: number): void {
    const turns = this.#turnsOf(pool);
    turns.recent.push({ at: now, coreMs });
    turns.sum += coreMs;
    this.#follow(turns, now);
  }

  /** Cores that a pool will need within the time that a VM takes to join it; 0 without a forecast. */
  expected(pool: string, now: number): number {
    const turns = this.#pools.get(pool);
    if (turns === undefined) {
      return 0;
    }
    this.#follow(turns, now);
    const season = this.#season();
    const last = turns.rises.at(-1);
    if (season === undefined || last === undefined || turns.isRisen) {
      return 0;
    }
    const next = last + season;
    const isDue = now >= next - LEAD_MS && now < next + PATIENCE_MS;
    return isDue ? AHEAD_SHARE * turns.lastHeight : 0;
  }

  #turnsOf(pool: string): Turns {
    let turns = this.#pools.get(pool);
    if (turns === undefined) {
      turns = {
        recent: [],
        sum: 0,
        upSince: undefined,
        isRisen: false,
        rises: [],
        height: 0,
        lastHeight: 0,
      };
      this.#pools.set(pool, turns);
    }
    return turns;
  }

  #follow(turns: Turns, now: number): void {
    const { recent } = turns;
    while (recent[0] !== undefined && now - recent[0].at >= WINDOW_MS) {
      turns.sum -= recent.shift()?.coreMs ?? 0;
    }
    const cores = turns.sum / WINDOW_MS;
    this.#highest = Math.max(this.#highest, cores);
    if (cores >= RISEN_SHARE * this.#highest) {
      this.#noteUp(turns, cores, now);
    } else if (cores < FALLEN_SHARE * this.#highest) {
      this.#noteDown(turns);
    }
  }

  #noteUp(turns: Turns, cores: number, now: number): void {
    turns.upSince ??= now;
    turns.height = Math.max(turns.height, cores);
    if (!turns.isRisen && now - turns.upSince >= STEADY_MS) {
      turns.isRisen = true;
      turns.rises = [...turns.rises.slice(-1), turns.upSince];
    }
  }

  #noteDown(turns: Turns): void {
    if (turns.isRisen && turns.height >= RISEN_SHARE * this.#highest) {
      turns.lastHeight = turns.height;
    } else if (turns.isRisen) {
      // It was taken for a rise only because no pool had shown more yet.
      turns.rises.pop();
    }
    turns.upSince = undefined;
    turns.isRisen = false;
    turns.height = 0;
  }

  /** The time between two rises of a pool, if the pools that rose twice agree on it. */
  #season(): number | undefined {
    const spans: number[] = [];
    for (const { rises: [first, second] } of this.#pools.values()) {
      if (first !== undefined && second !== undefined) {
        spans.push(second - first);
      }
    }
    if (spans.length === 0) {
      return undefined;
    }
    const shortest = Math.min(...spans);
    const longest = Math.max(...spans);
    const agrees = longest - shortest <= TOLERANCE * longest &&
      shortest >= SHORTEST_SEASON_MS && longest <= LONGEST_SEASON_MS;
    return agrees
      ? spans.reduce((sum, span) => sum + span, 0) / spans.length
      : undefined;
  }
}
