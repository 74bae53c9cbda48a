/**
 * Sessions of a leader with all workers: opens, replaces and closes them as workers join, restart and are lost.
 *
 * @module
 */
import { groupBy } from "@quetzalcove/core";
import {
  isLaterLife,
  type JobStore,
  LONGEST_ORDER_DELAY_MS,
  type RunKey,
  StartWindow,
  UnansweredStarts,
  type Worker,
} from "@quetzalcove/core/scheduling";
import { waitUntil } from "../waiting.ts";
import { RunEndBatcher } from "./run_end_batcher.ts";
import { WorkerLosses } from "./worker_losses.ts";
import type { WorkerLoss } from "./worker_loss.ts";
import { type EarlierLife, WorkerSession } from "./worker_session.ts";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

/** Dependencies of the sessions with all workers. */
export interface WorkerSessionsParts extends
  Omit<
    WorkerSessionParts,
    "onBirth" | "onLost" | "runEndBatcher" | "startWindow" | "unansweredStarts"
  > {
  /** Whether a worker must get no new runs because its VM is about to be moved or taken down. */
  isCordoned: (worker: Worker) => boolean;
}

/** Time to stop the runs of a worker before its announcement is answered; below the deadline of the call. */
const VACATE_TIMEOUT_MS = 400;

/** A worker that gets no new runs. */
export interface LeftOutWorker {
  worker: string;
  pool: string;
  reason: string;
  /** Time until it gets new runs again, in milliseconds; undefined if that is not known. */
  endsInMs: number | undefined;
}

/** A session that has ended, and the birth of the worker's life that it was with. */
interface EndedSession {
  /** In monotonic milliseconds. */
  endedAt: number;
  bornAtMs: number | undefined;
}

export class WorkerSessions {
  readonly #parts: WorkerSessionsParts;
  readonly #sessions = new Map<string, WorkerSession>();
  readonly #runEndBatcher: RunEndBatcher;
  readonly #losses: WorkerLosses;
  readonly #unansweredStarts = new UnansweredStarts();
  readonly #startWindow = new StartWindow();
  /** The latest session with each worker that has ended; kept while its orders may arrive. */
  readonly #ended = new Map<string, EndedSession>();

  constructor(parts: WorkerSessionsParts) {
    this.#parts = parts;
    this.#runEndBatcher = new RunEndBatcher(parts);
    this.#losses = new WorkerLosses(parts);
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  get(worker: string): WorkerSession | undefined {
    return this.#sessions.get(worker);
  }

  values(): IterableIterator<WorkerSession> {
    return this.#sessions.values();
  }

  stop(): void {
    this.#sessions.forEach((session) => session.stop());
    this.#sessions.clear();
  }

  /** Workers that may get new runs, by pool. Paused ones, where runs fail or hang, only if the pool has no other. */
  usableWorkers(now: number): Map<string, Worker[]> {
    const { trusted, paused } = this.#reachableWorkers(now);
    const usable = groupBy(trusted, ({ pool }) => pool);
    groupBy(paused, ({ pool }) => pool).forEach((workers, pool) => {
      if (!usable.has(pool)) {
        usable.set(pool, workers);
      }
    });
    return usable;
  }

  /** Paused workers beside usable ones that a step may try again which none of these can take, by pool. */
  retriedWorkers(now: number): Map<string, Worker[]> {
    const { health } = this.#parts;
    const { trusted, paused } = this.#reachableWorkers(now);
    const pools = new Set(trusted.map(({ pool }) => pool));
    const retried = paused.filter(({ id, pool }) =>
      pools.has(pool) && now >= (health.pauseOf(id, now)?.retryAt ?? Infinity)
    );
    return groupBy(retried, ({ pool }) => pool);
  }

  /** Workers that get no new runs, and why. */
  leftOutWorkers(now: number): LeftOutWorker[] {
    const { health, isCordoned } = this.#parts;
    return [...this.#sessions.values()].flatMap((session) => {
      const { worker } = session;
      const pause = health.pauseOf(worker.id, now);
      const reason = session.unusableReason(now) ??
        (isCordoned(worker) ? "VM held" : pause?.cause);
      return reason === undefined ? [] : [{
        worker: worker.id,
        pool: worker.pool,
        reason,
        endsInMs: reason === pause?.cause ? pause.until - now : undefined,
      }];
    });
  }

  /** Workers that take orders and whose VM stays. */
  #reachableWorkers(now: number): { trusted: Worker[]; paused: Worker[] } {
    const { health, isCordoned } = this.#parts;
    const trusted: Worker[] = [];
    const paused: Worker[] = [];
    for (const session of this.#sessions.values()) {
      const { worker } = session;
      if (session.isUsable(now) && !isCordoned(worker)) {
        (health.isTrusted(worker.id, now) ? trusted : paused).push(worker);
      }
    }
    return { trusted, paused };
  }

  /** Brings the sessions in line with the workers of the job store. */
  sync(): void {
    const { workers } = this.#jobStore;
    for (const [id, session] of this.#sessions) {
      const worker = workers.get(id);
      if (worker === undefined) {
        session.stop();
        this.#close(id);
      } else if (isLaterLife(session.worker.bornAtMs, worker.bornAtMs)) {
        this.#replace(session, worker);
      } else {
        session.worker = worker;
      }
    }
    for (const worker of workers.values()) {
      if (
        !this.#sessions.has(worker.id) &&
        !this.#losses.isPending(worker.id)
      ) {
        this.#open(worker);
      }
    }
  }

  /** Sends the orders that are due, to all workers. */
  sendDue(): void {
    this.#sessions.forEach((session) => session.sendDue());
  }

  /** Orders the stop of runs that are no longer wanted. */
  stopUnwantedRuns(): void {
    for (const run of this.#jobStore.runsToStop) {
      this.#sessions.get(run.worker)?.requestStop(run);
    }
  }

  /**
   * Stops the runs of a worker that has announced its end, so that they run elsewhere at once. Resolves when they have
   * ended, or after a while, as for a worker that cannot be reached.
   */
  async vacate(id: string): Promise<void> {
    this.sync();
    this.#sessions.get(id)?.sendDue();
    await waitUntil(
      () => this.#jobStore.load(id).runs.size === 0,
      VACATE_TIMEOUT_MS,
    );
  }

  /** Closes the session with a lost worker and removes the worker from the job store. */
  async removeWorker(id: string, loss: WorkerLoss): Promise<void> {
    if (this.#losses.isPending(id)) {
      return;
    }
    const { health, speed, onChange } = this.#parts;
    const session = this.#sessions.get(id);
    session?.stop();
    this.#close(id);
    health.remove(id);
    speed.remove(id);
    await this.#losses.remove(id, loss, session);
    onChange();
  }

  /** Discards what is known of orders that can no longer arrive. */
  prune(now: number): void {
    this.#unansweredStarts.prune(now);
    for (const [id, { endedAt }] of this.#ended) {
      if (now - endedAt > LONGEST_ORDER_DELAY_MS) {
        this.#ended.delete(id);
      }
    }
  }

  #open(worker: Worker, earlier?: EarlierLife): void {
    const session = new WorkerSession(worker, {
      ...this.#parts,
      runEndBatcher: this.#runEndBatcher,
      unansweredStarts: this.#unansweredStarts,
      startWindow: this.#startWindow,
      onBirth: (id, bornAtMs) => void this.#recordBirth(id, bornAtMs),
      onLost: (id, loss) => void this.removeWorker(id, loss),
    }, {
      earlier,
      forestalled: earlier === undefined ? this.#lateStarts(worker) : [],
      hasRestarted: isLaterLife(
        this.#ended.get(worker.id)?.bornAtMs,
        worker.bornAtMs,
      ),
    });
    this.#sessions.set(worker.id, session);
    void session.run();
  }

  /** Runs that a worker may still start, although the job store does not hold them on it any more. */
  #lateStarts({ id }: Worker): RunKey[] {
    const now = this.#parts.clock.monotonic();
    return this.#unansweredStarts.mayArrive(id, now).filter((run) =>
      this.#jobStore.findRun(run) === undefined
    );
  }

  /** Opens a session with the next life of a worker. */
  #replace(session: WorkerSession, worker: Worker): void {
    const { health, speed, onChange } = this.#parts;
    const { id, draining } = session.worker;
    session.supersede();
    this.#close(id);
    health.remove(id);
    speed.remove(id);
    this.#open(worker, {
      evidenceOf: (run) => session.evidenceOf(run),
      release: async (ended, repeated) => {
        const isReleased = await this.#losses.release(
          { worker: id, wasDraining: draining, ended, repeated },
          session,
        );
        onChange();
        return isReleased;
      },
    });
  }

  #close(id: string): void {
    const bornAtMs = this.#sessions.get(id)?.worker.bornAtMs;
    this.#sessions.delete(id);
    const endedAt = this.#parts.clock.monotonic();
    this.#ended.set(id, { endedAt, bornAtMs });
  }

  /** Stores the birth that a listing named: that of a worker of which none was known, or that of its next life. */
  async #recordBirth(id: string, bornAtMs: number): Promise<void> {
    const { consensus, log, onChange } = this.#parts;
    const known = this.#jobStore.workers.get(id);
    const isNews = known !== undefined && (known.bornAtMs === undefined ||
      isLaterLife(known.bornAtMs, bornAtMs));
    if (isNews) {
      const isRestart = known.bornAtMs !== undefined;
      const worker = isRestart
        ? {
          ...known,
          bornAtMs,
          draining: false,
          hasLeft: false,
          reportNumber: undefined,
        }
        : { ...known, bornAtMs };
      log.info("worker.born", { worker: id, bornAtMs, isRestart });
      const joined = await consensus.propose({
        kind: "join",
        workers: [worker],
      });
      if (!joined.ok && isRestart) {
        this.#close(id);
      }
    }
    onChange();
  }
}
