/**
 * The placement of each pool's jobs on VMs. The leader calls {@link Placement.pass} at each tick with the replicated
 * state; it returns one command to propose and the operations for agents.
 *
 * @module
 */
import type { State } from "../state.ts";
import { absorbReports } from "./absorbing.ts";
import { quotasOf } from "./apply.ts";
import { dispatchVm } from "./dispatch.ts";
import { explainJob, type Explanation } from "./explain.ts";
import { neverFits, type PoolLimits, poolLimits } from "./feasibility.ts";
import { Filler } from "./filling.ts";
import type { JobChange, JobCommand } from "./job.ts";
import { JobIndex } from "./job_index.ts";
import { Sizing } from "./learning.ts";
import { decideLeaving } from "./leaving.ts";
import {
  acceptReport,
  emptyLease,
  takeoverBound,
  type VmLease,
} from "./lease.ts";
import type { AgentReport, Operation } from "./operation.ts";
import { decideQuarantine } from "./quarantine.ts";
import { buildRooms, type Rooms, type RoomShape, roomShapes } from "./room.ts";
import type { Size } from "./size.ts";

const RETAIN_MS = 6 * 3_600_000;
const PRUNE_INTERVAL_MS = 600_000;

/** The time and the leadership under which a pass runs. */
export interface Tick {
  /** Monotonic clock of the leader, in milliseconds. */
  now: number;
  /** Wall clock, in milliseconds. */
  at: number;
  term: number;
  /** When this leader was elected, on its monotonic clock. */
  since: number;
}

/** What a pass decided. */
export interface JobDecision {
  /** One step to propose; absent when nothing changes. */
  command?: Extract<JobCommand, { kind: "job.step" }>;
  operations: Operation[];
  /** Whether to pass again as soon as the command is applied. */
  urgent: boolean;
}

/** The placement of one leader. It holds nothing that a new leader would miss. */
export class Placement {
  #term = -1;
  #leases = new Map<string, VmLease>();
  readonly #index = new JobIndex();
  #sizing: Sizing | undefined;
  #limits: PoolLimits = new Map();
  #quotas = new Map<string, Size>();
  #shapes: RoomShape[] = [];
  #revision = -1;
  #bounds = "";
  #source: State["jobs"] | undefined;
  #prunedAt = -Infinity;

  /** Takes in an agent's report; false when it is older than the known one or from another term. */
  report(
    report: AgentReport,
    { now, term }: Pick<Tick, "now" | "term">,
  ): boolean {
    if (term !== this.#term) {
      return false;
    }
    const lease = this.#leases.get(report.vm) ?? emptyLease();
    this.#leases.set(report.vm, lease);
    return acceptReport(lease, report, { now, term });
  }

  /** Decides on one pass. The state must hold every entry of earlier terms. */
  pass(state: State, tick: Tick): JobDecision {
    const takesOver = tick.term !== this.#term;
    if (takesOver) {
      this.#term = tick.term;
      this.#leases = new Map();
    }
    const { now, at } = tick;
    const changes: JobChange[] = [];
    const index = this.#index;
    const changed = index.sync(state.jobs);
    const sizing = this.#sizingOf(state);
    const leases = this.#leases;
    const firstBound = takesOver ? takeoverBound(tick.since) : undefined;
    absorbReports({ index, leases, now, at, firstBound, changes });
    this.#refuse(state, { changed, changes });
    const shapes = this.#shapes;
    const rooms = buildRooms(state, { shapes, index, leases, now });
    const operations = this.#dispatch(rooms, tick);
    decideLeaving(state, { rooms, sizing, at, changes });
    decideQuarantine(state, { rooms, at, changes });
    const limits = this.#limits;
    new Filler({ state, index, rooms, limits, sizing, at, changes }).fill();
    this.#prune(at, changes);
    const base = state.jobs.sequence;
    const urgent = changes.some((change) => isUrgent(state, change));
    return changes.length === 0 ? { operations, urgent } : {
      command: { kind: "job.step", base, changes, at },
      operations,
      urgent,
    };
  }

  /** Why the job is where it is. */
  explain(
    state: State,
    { job, tick }: { job: string; tick: Tick },
  ): Explanation {
    const index = this.#index;
    index.sync(state.jobs);
    const { now, at } = tick;
    const shapes = roomShapes(state);
    const leases = this.#leases;
    const rooms = buildRooms(state, { shapes, index, leases, now });
    const sizing = this.#sizingOf(state);
    const limits = poolLimits(state);
    return explainJob(state, job, { rooms, sizing, limits, index, at });
  }

  #sizingOf(state: State): Sizing {
    if (this.#sizing === undefined || this.#source !== state.jobs) {
      this.#sizing = new Sizing(state.jobs);
      this.#source = state.jobs;
    }
    return this.#sizing;
  }

  /** Refuses waiting jobs that can never run; all are looked at again when VMs or quotas changed. */
  #refuse(
    state: State,
    { changed, changes }: { changed: string[]; changes: JobChange[] },
  ): void {
    const all = this.#boundsChanged(state);
    const sizing = this.#sizingOf(state);
    const bounds = { limits: this.#limits, quotas: this.#quotas, sizing };
    for (const id of all ? Object.keys(state.jobs.active) : new Set(changed)) {
      const job = state.jobs.active[id];
      const reason = job?.phase === "waiting"
        ? neverFits(job, bounds)
        : undefined;
      if (reason !== undefined) {
        changes.push({ type: "refuse", job: id, reason });
      }
    }
  }

  #boundsChanged(state: State): boolean {
    if (state.revision === this.#revision) {
      return false;
    }
    this.#revision = state.revision;
    this.#limits = poolLimits(state);
    this.#quotas = quotasOf(state);
    this.#shapes = roomShapes(state);
    const bounds = JSON.stringify([[...this.#limits], [...this.#quotas]]);
    const changed = bounds !== this.#bounds;
    this.#bounds = bounds;
    return changed;
  }

  /** Operations follow from what is committed, so they come before this pass's own decisions. */
  #dispatch(rooms: Rooms, { term, now }: Tick): Operation[] {
    const operations: Operation[] = [];
    for (const room of rooms.byVm.values()) {
      const lease = this.#leases.get(room.vm) ?? emptyLease();
      this.#leases.set(room.vm, lease);
      dispatchVm(room, lease, { term, now, operations });
    }
    return operations;
  }

  #prune(at: number, changes: JobChange[]): void {
    if (at - this.#prunedAt >= PRUNE_INTERVAL_MS) {
      this.#prunedAt = at;
      changes.push({ type: "prune", before: at - RETAIN_MS });
    }
  }
}

/** Whether an urgent job waits for the change to be applied. */
function isUrgent(state: State, change: JobChange): boolean {
  switch (change.type) {
    case "place":
      return state.jobs.active[change.job]?.priority === "urgent";
    case "want":
      return change.cause === "urgent";
    case "end":
      return state.jobs.active[change.job]?.run?.cause === "urgent" ||
        state.jobs.active[change.job]?.priority === "urgent";
    default:
      return false;
  }
}
