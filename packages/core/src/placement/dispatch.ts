/**
 * Turns the replicated state into operations for agents: leases to renew, runs to start, checkpoint and stop.
 *
 * @module
 */
import type { Cause, Job, Run } from "./job.ts";
import {
  emptyRunLease,
  FIRST_ASK_MS,
  firstLeaseMs,
  noteRenewal,
  noteStart,
  RENEW_MS,
  renewUntil,
  type RunLease,
  startDue,
  type VmLease,
  WAIT_MS,
  WATCH_MS,
} from "./lease.ts";
import type { Operation, RunReport } from "./operation.ts";
import type { Occupant, Room } from "./room.ts";
import { addSize, remaining, type Size, zeroSize } from "./size.ts";
import { throttles } from "./throttle.ts";

/** How long a run may take to checkpoint before it is stopped without. */
const GRACE_MS: Record<Cause, number> = {
  cancel: 0,
  urgent: 1_200,
  pressure: 5_000,
  live: 10_000,
  drain: 60_000,
  unstarted: 0,
};
const RETRY_MS = 1_000;
const CHECKPOINT_INTERVAL_MS = 900_000;

/** What operations are derived from. */
export interface Dispatch {
  term: number;
  now: number;
  operations: Operation[];
}

interface Scope {
  room: Room;
  lease: VmLease;
  dispatch: Dispatch;
}

/** Adds the operations that the VM needs now. */
export function dispatchVm(room: Room, dispatch: Dispatch): void {
  const { lease } = room;
  if (!room.fresh && !room.busy && !askDue(room, dispatch.now)) {
    return;
  }
  const scope = { room, lease, dispatch };
  room.busy = room.occupants.some(({ run, report }) =>
    report === undefined || run.want !== "run" ||
    lease.runs.get(run.id)?.renewed === false
  );
  if (askDue(room, dispatch.now)) {
    ask(scope);
  }
  if (lease.report === undefined) {
    return;
  }
  startRuns(scope);
  for (const occupant of room.occupants) {
    steer(scope, occupant);
  }
  for (const { run, share } of throttles(room)) {
    send(scope, run, {
      key: `throttle:${run}:${share}`,
      operation: (id) => ({
        ...header(scope, id),
        kind: "throttle",
        run,
        share,
      }),
    });
  }
}

/** A VM with runs is asked as soon as it has answered, since its agent holds the answer back. */
function askDue({ lease, busy, occupants }: Room, now: number): boolean {
  const silentMs = now - lease.askedAt;
  if (silentMs >= RENEW_MS) {
    return true;
  }
  if (lease.report === undefined) {
    return silentMs >= FIRST_ASK_MS;
  }
  const answered = occupants.length > 0 && !lease.held;
  return silentMs >= WATCH_MS && (busy || answered);
}

interface Header {
  id: string;
  vm: string;
  term: number;
  incarnation: number;
  urgent: boolean;
}

function header(
  { room, lease, dispatch }: Scope,
  id: string,
  urgent = false,
): Header {
  return {
    id,
    vm: room.vm,
    term: dispatch.term,
    incarnation: lease.report?.incarnation ?? 0,
    urgent,
  };
}

/** Asks for a report and renews the leases of the runs that go on. */
function ask(scope: Scope): void {
  const { room, lease, dispatch } = scope;
  const { report } = lease;
  lease.askedAt = dispatch.now;
  const runs: string[] = [];
  let urgent = false;
  for (const { job, run, report: seen } of room.occupants) {
    const held = lease.runs.get(run.id);
    urgent ||= job.priority === "urgent" && held?.renewed === false;
    if (
      held !== undefined && seen?.phase === "running" &&
      renewable(run, held, dispatch.now)
    ) {
      runs.push(run.id);
      noteRenewal(lease, held);
    }
  }
  const known = new Set(room.occupants.map(({ run }) => run.id));
  const forget = (report?.runs ?? [])
    .filter((entry) => entry.phase === "ended" && !known.has(entry.run))
    .map((entry) => entry.run);
  const waitMs = room.busy || runs.length === 0 ? 0 : WAIT_MS;
  lease.held = waitMs > 0;
  const id = `renew:${room.vm}:${dispatch.term}:${dispatch.now}`;
  dispatch.operations.push({
    ...header(scope, id, urgent),
    kind: "renew",
    until: report === undefined ? 0 : renewUntil(report),
    runs,
    forget,
    waitMs,
  });
}

/** A run that leaves keeps its lease only for the grace period of its checkpoint. */
function renewable(run: Run, held: RunLease, now: number): boolean {
  if (held.closed || now > held.bound) {
    return false;
  }
  if (run.want === "run") {
    return true;
  }
  const asked = held.operations.get(leaveKey(run.id))?.first ?? now;
  return run.want === "checkpoint" && now - asked < graceOf(run);
}

function graceOf(run: Run): number {
  return run.cause === undefined ? 0 : GRACE_MS[run.cause];
}

function leaveKey(run: string): string {
  return `leave:${run}`;
}

/** Starts placed runs, in order of placement, once the runs that leave have made room. */
function startRuns(scope: Scope): void {
  const { room, lease, dispatch } = scope;
  const taken = zeroSize();
  const waiting: Occupant[] = [];
  let leaving = false;
  for (const occupant of room.occupants) {
    const { run, report, size } = occupant;
    const held = lease.runs.get(run.id);
    const sent = report !== undefined || held?.until !== undefined ||
      held?.seen === true;
    if (sent) {
      addSize(taken, size);
    }
    leaving ||= sent && run.want !== "run";
    const isNew = report === undefined && held?.seen !== true;
    if (run.want === "run" && isNew) {
      waiting.push(occupant);
    }
  }
  for (const { job, run, size } of waiting) {
    const held = lease.runs.get(run.id);
    const { incarnation } = run;
    const { now } = dispatch;
    if (held === undefined || held.closed) {
      continue;
    }
    if (!startDue(lease, held, { incarnation, now })) {
      continue;
    }
    const first = held.until === undefined;
    if (first && !hasMadeRoom(size, remaining(room.limit, taken), leaving)) {
      continue;
    }
    if (first) {
      addSize(taken, size);
    }
    dispatch.operations.push(startOf(scope, job, { run, held }));
  }
}

/**
 * Whether a placed run may start. It waits for memory only while runs leave: when the others merely grow, they are told
 * to leave as their use comes near the VM's size. Processors are shared by throttling; accelerators are never shared.
 */
function hasMadeRoom(size: Size, free: Size, leaving: boolean): boolean {
  return size.accelerators <= free.accelerators &&
    (size.memoryMb <= free.memoryMb || !leaving);
}

function startOf(
  scope: Scope,
  job: Job,
  { run, held }: { run: Run; held: RunLease },
): Operation {
  const lengthMs = firstLeaseMs(job.priority, job.runs);
  const { now } = scope.dispatch;
  return {
    ...header(scope, `start:${run.id}`, job.priority === "urgent"),
    incarnation: run.incarnation,
    kind: "start",
    run: run.id,
    job: job.id,
    team: job.team,
    priority: job.priority,
    size: run.size,
    task: job.task,
    checkpoint: job.checkpoint,
    until: noteStart(scope.lease, held, { now, lengthMs }),
  };
}

/** Sends what a placed run needs: the end that is wanted, or a checkpoint from time to time. */
function steer(scope: Scope, { run, report }: Occupant): void {
  const held = scope.lease.runs.get(run.id) ?? emptyRunLease();
  if (report?.phase === "ended" || scope.lease.runs.get(run.id) === undefined) {
    return;
  }
  if (run.want === "run") {
    checkpointNow(scope, run, report);
    return;
  }
  const key = leaveKey(run.id);
  const asked = held.operations.get(key)?.first ?? scope.dispatch.now;
  const late = scope.dispatch.now - asked >= graceOf(run);
  const urgent = run.cause === "urgent";
  const stop = run.want === "stop" || late || report === undefined;
  send(scope, run.id, {
    key,
    operation: () =>
      stop
        ? {
          ...header(scope, `stop:${run.id}`, urgent),
          kind: "stop",
          run: run.id,
        }
        : {
          ...header(scope, `leave:${run.id}`, urgent),
          kind: "checkpoint",
          run: run.id,
          stop: true,
          graceMs: graceOf(run),
        },
  });
}

function checkpointNow(scope: Scope, run: Run, report?: RunReport): void {
  const count = Math.floor((report?.runtimeMs ?? 0) / CHECKPOINT_INTERVAL_MS);
  if (count > 0) {
    const key = `checkpoint:${run.id}:${count}`;
    const held = scope.lease.runs.get(run.id);
    if (held?.operations.has(key) === false) {
      send(scope, run.id, {
        key,
        operation: (id) => ({
          ...header(scope, id),
          kind: "checkpoint",
          run: run.id,
          stop: false,
          graceMs: CHECKPOINT_INTERVAL_MS,
        }),
      });
    }
  }
}

/** Sends an operation on a run unless the same one was sent just before. */
function send(
  { lease, dispatch }: Scope,
  run: string,
  { key, operation }: { key: string; operation: (id: string) => Operation },
): void {
  const held = lease.runs.get(run);
  const sent = held?.operations.get(key);
  if (held === undefined || (sent && dispatch.now - sent.last < RETRY_MS)) {
    return;
  }
  held.operations.set(key, {
    first: sent?.first ?? dispatch.now,
    last: dispatch.now,
  });
  dispatch.operations.push(operation(key));
}
