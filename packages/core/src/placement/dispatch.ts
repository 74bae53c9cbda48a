/**
 * Derives operations for agents from the replicated state: leases to renew, and runs to start, checkpoint, stop and
 * throttle.
 *
 * @module
 */
import type { Job, Run, StopCause } from "./job.ts";
import {
  BUSY_RENEW_INTERVAL_MS,
  emptyRunLease,
  FIRST_RENEW_INTERVAL_MS,
  firstLeaseMs,
  LONG_POLL_MS,
  recordRenewal,
  recordStart,
  RENEW_INTERVAL_MS,
  renewedLeaseEnd,
  type RunLease,
  startDue,
  type VmLease,
} from "./lease.ts";
import type { AgentOperation, RunReport } from "./operation.ts";
import { addSize, remaining, type Size, zeroSize } from "./size.ts";
import { throttleChanges } from "./throttle.ts";
import type { PlacedRun, VmCapacity } from "./vm_capacity.ts";

/** How long an evicted run may take to checkpoint before it is stopped without one. */
const CHECKPOINT_GRACE_MS: Record<StopCause, number> = {
  cancel: 0,
  urgent: 1_200,
  pressure: 5_000,
  live: 10_000,
  drain: 60_000,
  unstarted: 0,
};
const RETRY_INTERVAL_MS = 1_000;
const CHECKPOINT_INTERVAL_MS = 900_000;

/** Term and time of a pass, and the list to which operations are added. */
export interface DispatchContext {
  term: number;
  now: number;
  operations: AgentOperation[];
}

interface VmContext {
  vm: VmCapacity;
  lease: VmLease;
  dispatch: DispatchContext;
}

/** Adds the operations to send to the VM now. */
export function dispatchVm(vm: VmCapacity, dispatch: DispatchContext): void {
  const { lease } = vm;
  if (!vm.changed && !vm.busy && !renewalDue(vm, dispatch.now)) {
    return;
  }
  const context = { vm, lease, dispatch };
  vm.busy = vm.runs.some(({ run, report }) =>
    report === undefined || run.want !== "run" ||
    lease.runs.get(run.id)?.renewed === false
  );
  if (renewalDue(vm, dispatch.now)) {
    sendRenewal(context);
  }
  if (lease.report === undefined) {
    return;
  }
  startRuns(context);
  for (const placed of vm.runs) {
    sendRunOperations(context, placed);
  }
  for (const { run, share } of throttleChanges(vm)) {
    send(context, run, {
      key: `throttle:${run}:${share}`,
      operation: (id) => ({
        ...header(context, id),
        kind: "throttle",
        run,
        share,
      }),
    });
  }
}

/**
 * Whether to send a renewal. A VM with runs gets the next one as soon as it has answered, since its agent delays the
 * answer (long polling).
 */
function renewalDue(
  { lease, busy, runs }: VmCapacity,
  now: number,
): boolean {
  const silentMs = now - lease.renewalSentAt;
  if (silentMs >= RENEW_INTERVAL_MS) {
    return true;
  }
  if (lease.report === undefined) {
    return silentMs >= FIRST_RENEW_INTERVAL_MS;
  }
  const answered = runs.length > 0 && !lease.longPolling;
  return silentMs >= BUSY_RENEW_INTERVAL_MS && (busy || answered);
}

interface Header {
  id: string;
  vm: string;
  term: number;
  incarnation: number;
  urgent: boolean;
}

function header(
  { vm, lease, dispatch }: VmContext,
  id: string,
  urgent = false,
): Header {
  return {
    id,
    vm: vm.name,
    term: dispatch.term,
    incarnation: lease.report?.incarnation ?? 0,
    urgent,
  };
}

/** Requests a report and renews the leases of the runs that continue. */
function sendRenewal(context: VmContext): void {
  const { vm, lease, dispatch } = context;
  const { report } = lease;
  lease.renewalSentAt = dispatch.now;
  const runs: string[] = [];
  let urgent = false;
  for (const { job, run, report: runReport } of vm.runs) {
    const runLease = lease.runs.get(run.id);
    urgent ||= job.priority === "urgent" && runLease?.renewed === false;
    if (
      runLease !== undefined && runReport?.phase === "running" &&
      isRenewable(run, runLease, dispatch.now)
    ) {
      runs.push(run.id);
      recordRenewal(lease, runLease);
    }
  }
  const known = new Set(vm.runs.map(({ run }) => run.id));
  const forget = (report?.runs ?? [])
    .filter((entry) => entry.phase === "ended" && !known.has(entry.run))
    .map((entry) => entry.run);
  const waitMs = vm.busy || runs.length === 0 ? 0 : LONG_POLL_MS;
  lease.longPolling = waitMs > 0;
  const id = `renew:${vm.name}:${dispatch.term}:${dispatch.now}`;
  dispatch.operations.push({
    ...header(context, id, urgent),
    kind: "renew",
    until: report === undefined ? 0 : renewedLeaseEnd(report),
    runs,
    forget,
    waitMs,
  });
}

/**
 * Whether the lease may be renewed. A run that is being evicted keeps it only for the grace period of its checkpoint.
 */
function isRenewable(run: Run, runLease: RunLease, now: number): boolean {
  if (runLease.closed || now > runLease.expiresAt) {
    return false;
  }
  if (run.want === "run") {
    return true;
  }
  const requestedAt = runLease.operations.get(evictionKey(run.id))?.first ??
    now;
  return run.want === "checkpoint" && now - requestedAt < gracePeriodMs(run);
}

function gracePeriodMs(run: Run): number {
  return run.cause === undefined ? 0 : CHECKPOINT_GRACE_MS[run.cause];
}

function evictionKey(run: string): string {
  return `leave:${run}`;
}

/** Starts placed runs, in order of placement, once runs that are being evicted have released what they need. */
function startRuns(context: VmContext): void {
  const { vm, lease, dispatch } = context;
  const used = zeroSize();
  const waiting: PlacedRun[] = [];
  let evicting = false;
  for (const placed of vm.runs) {
    const { run, report, size } = placed;
    const runLease = lease.runs.get(run.id);
    const sent = report !== undefined ||
      runLease?.firstLeaseEnd !== undefined ||
      runLease?.reported === true;
    if (sent) {
      addSize(used, size);
    }
    evicting ||= sent && run.want !== "run";
    const isNew = report === undefined && runLease?.reported !== true;
    if (run.want === "run" && isNew) {
      waiting.push(placed);
    }
  }
  for (const { job, run, size } of waiting) {
    const runLease = lease.runs.get(run.id);
    const { incarnation } = run;
    const { now } = dispatch;
    if (runLease === undefined || runLease.closed) {
      continue;
    }
    if (!startDue(lease, runLease, { incarnation, now })) {
      continue;
    }
    const first = runLease.firstLeaseEnd === undefined;
    if (first && !canStart(size, remaining(vm.limit, used), evicting)) {
      continue;
    }
    if (first) {
      addSize(used, size);
    }
    dispatch.operations.push(startOperation(context, job, { run, runLease }));
  }
}

/**
 * Whether a placed run may start. It waits for memory only while runs are being evicted; runs that have outgrown their
 * reservations are evicted later under memory pressure. Processors are shared by throttling; accelerators are not.
 */
function canStart(size: Size, free: Size, evicting: boolean): boolean {
  return size.accelerators <= free.accelerators &&
    (size.memoryMb <= free.memoryMb || !evicting);
}

function startOperation(
  context: VmContext,
  job: Job,
  { run, runLease }: { run: Run; runLease: RunLease },
): AgentOperation {
  const lengthMs = firstLeaseMs(job.priority, job.runs);
  const { now } = context.dispatch;
  return {
    ...header(context, `start:${run.id}`, job.priority === "urgent"),
    incarnation: run.incarnation,
    kind: "start",
    run: run.id,
    job: job.id,
    team: job.team,
    priority: job.priority,
    size: run.size,
    task: job.task,
    checkpoint: job.checkpoint,
    until: recordStart(context.lease, runLease, { now, lengthMs }),
  };
}

/** Sends the stop or checkpoint that ends the run if it is to end, otherwise periodic checkpoints. */
function sendRunOperations(
  context: VmContext,
  { run, report }: PlacedRun,
): void {
  const runLease = context.lease.runs.get(run.id) ?? emptyRunLease();
  if (
    report?.phase === "ended" || context.lease.runs.get(run.id) === undefined
  ) {
    return;
  }
  if (run.want === "run") {
    sendPeriodicCheckpoint(context, run, report);
    return;
  }
  const key = evictionKey(run.id);
  const requestedAt = runLease.operations.get(key)?.first ??
    context.dispatch.now;
  const graceExpired = context.dispatch.now - requestedAt >= gracePeriodMs(run);
  const urgent = run.cause === "urgent";
  const stop = run.want === "stop" || graceExpired || report === undefined;
  send(context, run.id, {
    key,
    operation: () =>
      stop
        ? {
          ...header(context, `stop:${run.id}`, urgent),
          kind: "stop",
          run: run.id,
        }
        : {
          ...header(context, `leave:${run.id}`, urgent),
          kind: "checkpoint",
          run: run.id,
          stop: true,
          graceMs: gracePeriodMs(run),
        },
  });
}

function sendPeriodicCheckpoint(
  context: VmContext,
  run: Run,
  report?: RunReport,
): void {
  const count = Math.floor((report?.runtimeMs ?? 0) / CHECKPOINT_INTERVAL_MS);
  if (count > 0) {
    const key = `checkpoint:${run.id}:${count}`;
    const runLease = context.lease.runs.get(run.id);
    if (runLease?.operations.has(key) === false) {
      send(context, run.id, {
        key,
        operation: (id) => ({
          ...header(context, id),
          kind: "checkpoint",
          run: run.id,
          stop: false,
          graceMs: CHECKPOINT_INTERVAL_MS,
        }),
      });
    }
  }
}

/** Sends an operation on a run unless the same one was sent within the retry interval. */
function send(
  { lease, dispatch }: VmContext,
  run: string,
  { key, operation }: {
    key: string;
    operation: (id: string) => AgentOperation;
  },
): void {
  const runLease = lease.runs.get(run);
  const sent = runLease?.operations.get(key);
  if (
    runLease === undefined ||
    (sent && dispatch.now - sent.last < RETRY_INTERVAL_MS)
  ) {
    return;
  }
  runLease.operations.set(key, {
    first: sent?.first ?? dispatch.now,
    last: dispatch.now,
  });
  dispatch.operations.push(operation(key));
}
