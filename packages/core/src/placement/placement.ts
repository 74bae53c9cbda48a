/**
 * The placement of each pool's jobs on VMs. The leader calls {@link Placement.pass} at each tick with the replicated
 * state; it returns one command to propose and the operations for agents.
 *
 * @module
 */
import type { State } from "../state.ts";
import { absorbReports } from "./absorbing.ts";
import { dispatchVm } from "./dispatch.ts";
import { explainJob, type Explanation } from "./explain.ts";
import {
  neverFits,
  type PoolLimits,
  poolLimits,
  quotasOf,
} from "./feasibility.ts";
import { Filler } from "./filling.ts";
import type { JobChange, JobCommand } from "./job.ts";
import { JobIndex } from "./job_index.ts";
import { Sizing } from "./learning.ts";
import { decideLeaving } from "./leaving.ts";
import { acceptReport, takeoverBound, type VmLease } from "./lease.ts";
import type { AgentReport, Operation } from "./operation.ts";
import { decideQuarantine } from "./quarantine.ts";
import { Rooms, roomShapes } from "./room.ts";
import type { Size } from "./size.ts";

/** Most waiting jobs in one pass that are checked for whether they can ever run. */
const MAX_CHECKS = 4_096;
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
  #rooms = new Rooms([], new Map());
  #revision = -1;
  #bounds = "";
  #source: State["jobs"] | undefined;
  #unchecked: string[] = [];
  #prunedAt = -Infinity;

  /** Takes in an agent's report; false when it is older than the known one or from another term. */
  report(
    report: AgentReport,
    { now, term }: Pick<Tick, "now" | "term">,
  ): boolean {
    if (term !== this.#term) {
      return false;
    }
    const lease = this.#leases.get(report.vm);
    const accepted = lease !== undefined &&
      acceptReport(lease, report, { now, term });
    if (accepted) {
      this.#index.touched.add(report.vm);
    }
    return accepted;
  }

  /** Decides on one pass. The state must hold every entry of earlier terms. */
  pass(state: State, tick: Tick): JobDecision {
    const takesOver = tick.term !== this.#term;
    const { now, at } = tick;
    const index = this.#index;
    const changed = index.sync(state.jobs);
    const boundsChanged = this.#follow(state, takesOver);
    this.#term = tick.term;
    const { touched } = index;
    const leases = this.#leases;
    const rooms = this.#rooms;
    const sizing = this.#sizingOf(state);
    const limits = this.#limits;
    const changes: JobChange[] = [];
    const firstBound = takesOver ? takeoverBound(tick.since) : undefined;
    const absorbing = { index, leases, now, at, touched, sizing };
    absorbReports({ ...absorbing, firstBound, changes });
    rooms.update(state, { index, leases, now, touched });
    touched.clear();
    this.#refuse(state, { changed, boundsChanged, changes });
    const operations = this.#dispatch(tick);
    decideLeaving(state, { rooms, sizing, at, changes });
    decideQuarantine(state, { rooms, at, changes });
    new Filler({ state, index, rooms, limits, sizing, at, changes }).fill();
    this.#prune(at, changes);
    return decisionOf(state, { changes, operations, at });
  }

  /** Why the job is where it is. */
  explain(
    state: State,
    { job, tick }: { job: string; tick: Tick },
  ): Explanation {
    const index = this.#index;
    index.sync(state.jobs);
    const { now, at } = tick;
    const leases = this.#leases;
    const rooms = new Rooms(roomShapes(state), leases);
    rooms.update(state, { index, leases, now, touched: new Set() });
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

  /** Refuses waiting jobs that can never run; all are looked at again, some in each pass, when VMs or quotas changed. */
  #refuse(
    state: State,
    { changed, boundsChanged, changes }: {
      changed: string[];
      boundsChanged: boolean;
      changes: JobChange[];
    },
  ): void {
    const { active } = state.jobs;
    this.#unchecked = boundsChanged
      ? Object.keys(active)
      : [...changed, ...this.#unchecked];
    const sizing = this.#sizingOf(state);
    const bounds = { limits: this.#limits, quotas: this.#quotas, sizing };
    for (const id of this.#unchecked.splice(0, MAX_CHECKS)) {
      const job = active[id];
      const reason = job?.phase === "waiting"
        ? neverFits(job, bounds)
        : undefined;
      if (reason !== undefined) {
        changes.push({ type: "refuse", job: id, reason });
      }
    }
  }

  /** Follows configuration, moves and terms; tells whether what jobs may take has changed. */
  #follow(state: State, takesOver: boolean): boolean {
    if (takesOver) {
      this.#leases = new Map();
    }
    if (!takesOver && state.revision === this.#revision) {
      return false;
    }
    this.#revision = state.revision;
    this.#limits = poolLimits(state);
    this.#quotas = quotasOf(state);
    this.#rooms = new Rooms(roomShapes(state), this.#leases);
    const bounds = JSON.stringify([[...this.#limits], [...this.#quotas]]);
    const changed = bounds !== this.#bounds;
    this.#bounds = bounds;
    return changed;
  }

  /** Operations follow from what is committed, so they come before this pass's own decisions. */
  #dispatch({ term, now }: Tick): Operation[] {
    const operations: Operation[] = [];
    for (const room of this.#rooms.byVm.values()) {
      dispatchVm(room, { term, now, operations });
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

function decisionOf(
  state: State,
  { changes, operations, at }: {
    changes: JobChange[];
    operations: Operation[];
    at: number;
  },
): JobDecision {
  if (changes.length === 0) {
    return { operations, urgent: false };
  }
  const base = state.jobs.sequence;
  return {
    command: { kind: "job.step", base, changes, at },
    operations,
    urgent: changes.some((change) => isUrgent(state, change)),
  };
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
