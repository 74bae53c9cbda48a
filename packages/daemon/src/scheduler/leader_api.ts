/**
 * Methods that the leader serves to customers, operators and workers. Each call first confirms leadership.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  type Result,
} from "@quetzalcove/core";
import {
  type CallerAccess,
  checkGangs,
  checkQueuePlan,
  decideAccess,
  findQueue,
  hasForwardDependency,
  hasOversizeGang,
  isLaterLife,
  isOutdatedReport,
  isReportNews,
  isVisibleTo,
  MAX_GANG_TASKS,
  policyOf,
  type Queue,
  ReportOrder,
  submissionBytes,
  type SubmittedJob,
  taskCountOf,
  visibleState,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import { withTimeout } from "../timeout.ts";
import type { Handler, Handlers } from "../link/connection.ts";
import type { Log } from "../observe/log.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import {
  type CancelResult,
  type Method,
  METHOD_PARAMS,
  type Params,
  type PlanResult,
  type QueueResult,
  type WaveResult,
} from "./methods.ts";
import type { MemoryAdmission } from "./memory_admission.ts";
import { SubmissionBatcher } from "./submission_batcher.ts";

/** Dependencies of the leader's API. */
export interface LeaderApiParts {
  consensus: JobConsensus;
  clock: Clock;
  log: Log;
  /** Schedules a placement pass. */
  onChange: () => void;
  /** Called with each job that was accepted. */
  onAccepted: (job: SubmittedJob) => void;
  memory: MemoryAdmission;
  /** Accepts or refuses a job that is not stored. */
  accept: (job: SubmittedJob) => Result<void, Fault>;
  /** Stops the runs of a worker that has announced its end; resolves when they have ended, or after a while. */
  vacate: (worker: string) => Promise<void>;
}

type MethodHandlers = {
  [M in Method]: (params: Params<M>) => Promise<Result<unknown, Fault>>;
};

/** A job id becomes a part of dot-separated task names, so it contains no dot. */
const JOB_ID_PATTERN = /^[0-9A-Za-z_-]{1,64}$/;

/** Less than the 700 ms for which entry nodes wait, after which they would not know the outcome of the call. */
const CONFIRM_TIMEOUT_MS = 500;

/** When a caller should retry while there is no plan: after about one election. */
const NO_PLAN_RETRY_AFTER_MS = 1_000;

export class LeaderApi {
  readonly #parts: LeaderApiParts;
  readonly #submissions: SubmissionBatcher;
  /** Ids of the jobs that are being committed. */
  readonly #pendingJobs = new Set<string>();
  readonly #reportOrder = new ReportOrder();

  constructor(parts: LeaderApiParts) {
    this.#parts = parts;
    this.#submissions = new SubmissionBatcher(parts);
  }

  /** Handlers of the methods that other nodes call at the leader, by method name. */
  handlers(): Handlers {
    const handlers: MethodHandlers = {
      submit_job: (params) => this.#submit(params),
      check_submission: (params) => this.#checkSubmission(params),
      read_queue: (params) => this.#readQueue(params),
      cancel_job: (params) => this.#cancel(params),
      report_worker: (params) => this.#reportWorker(params),
      leave_worker: (params) => this.#leaveWorker(params),
      replace_plan: (params) => this.#replacePlan(params),
      read_plan: () => this.#readPlan(),
      start_wave: (params) => this.#startWave(params),
      read_wave: (params) => this.#readWave(params),
    };
    const methods = Object.keys(handlers) as Method[];
    return new Map(
      methods.map((method) => [method, this.#handler(method, handlers)]),
    );
  }

  #handler(method: Method, answers: MethodHandlers): Handler {
    const handle = answers[method] as (
      params: unknown,
    ) => Promise<Result<unknown, Fault>>;
    return async (raw) => {
      const params = parse(METHOD_PARAMS[method], raw, method);
      if (params.err) {
        return params;
      }
      const confirmed = await this.#confirm();
      return confirmed.err ? confirmed : await handle(params.val);
    };
  }

  /** Confirms leadership with a quorum. A failure has the outcome "not run", since nothing was proposed yet. */
  async #confirm(): Promise<Result<void, Fault>> {
    const confirmed = await withTimeout(
      CONFIRM_TIMEOUT_MS,
      this.#parts.consensus.barrier(),
    );
    return confirmed === undefined
      ? Err(
        fault(
          "no_leader",
          `No quorum confirmed this node in ${CONFIRM_TIMEOUT_MS} ms`,
          {
            outcome: "not run",
          },
        ),
      )
      : confirmed.mapErr((cause) => ({
        ...cause,
        outcome: "not run" as const,
      }));
  }

  async #submit(
    { spec, bodyBytes = 0, ...call }: Params<"submit_job">,
  ): Promise<Result<unknown, Fault>> {
    const { consensus, log } = this.#parts;
    const admitted = this.#admit(call);
    if (admitted.err) {
      return admitted;
    }
    const { queue, rest: id, access } = admitted.val;
    const plan = consensus.state.plan.version;
    const sized = this.#checkBody(bodyBytes);
    if (sized.err) {
      return sized;
    }
    if (!JOB_ID_PATTERN.test(id) || hasForwardDependency(spec)) {
      return Err(
        fault("invalid", `Job "${id}" of queue "${queue.name}" is malformed`, {
          outcome: "not run",
        }),
      );
    }
    if (hasOversizeGang(spec)) {
      const message = `Job "${id}" has a gang of more than ${MAX_GANG_TASKS}`;
      return Err(fault("invalid", message, { outcome: "not run" }));
    }
    if (consensus.state.jobs.has(id)) {
      return this.#checkOwner(id, access);
    }
    const job: SubmittedJob = {
      id,
      queue: queue.name,
      pool: queue.pool,
      customer: access.customer,
      policy: policyOf(queue),
      spec,
    };
    const allowed = this.#checkCap(job);
    if (allowed.err) {
      return allowed;
    }
    const committed = await this.#commit(job);
    // Another customer's job with this id may have been stored first.
    const stored = committed.andThen(() => this.#checkOwner(id, access));
    if (stored.ok) {
      this.#parts.onAccepted(job);
    }
    log.info("job.submitted", {
      job: id,
      queue: queue.name,
      customer: access.customer,
      plan,
      tasks: taskCountOf(spec),
      outcome: stored.ok ? "accepted" : stored.val.kind,
    });
    return stored;
  }

  /** Refuses a submission as `submit_job` would for its size, without its content. A job that is known is not refused. */
  #checkSubmission(
    { jobBytes, bodyBytes, ...call }: Params<"check_submission">,
  ): Promise<Result<unknown, Fault>> {
    const { consensus, memory } = this.#parts;
    const checked = this.#admit(call).andThen(({ queue, rest: id, access }) =>
      consensus.state.jobs.has(id) || this.#pendingJobs.has(id)
        ? Ok({})
        : this.#checkBody(bodyBytes).andThen(() =>
          memory.check({
            id,
            queue: queue.name,
            customer: access.customer,
            bytes: jobBytes,
          })
        ).map(() => ({}))
    );
    return Promise.resolve(checked);
  }

  /** Refuses a body that is larger than the operators allow. */
  #checkBody(bodyBytes: number): Result<void, Fault> {
    const { maxBodyBytes = Infinity } = this.#parts.consensus.state.plan;
    return bodyBytes > maxBodyBytes
      ? Err(bodyLimitFault(bodyBytes, maxBodyBytes))
      : Ok.EMPTY;
  }

  /** Stores a job if it is admitted. A repeat of one that is being stored may not be refused as not run. */
  async #commit(job: SubmittedJob): Promise<Result<unknown, Fault>> {
    const { memory, accept } = this.#parts;
    const bytes = submissionBytes(job.spec);
    if (this.#pendingJobs.has(job.id)) {
      return await this.#submissions.add(job, bytes);
    }
    const accepted = memory.check({ ...job, bytes })
      .andThen(() => accept(job));
    if (accepted.err) {
      return accepted;
    }
    this.#pendingJobs.add(job.id);
    const release = memory.reserve(job, bytes);
    const committed = await this.#submissions.add(job, bytes);
    this.#pendingJobs.delete(job.id);
    release();
    return committed;
  }

  /** Refuses a submission under the id of a job that does not exist for the caller. */
  #checkOwner(id: string, access: CallerAccess): Result<unknown, Fault> {
    const job = this.#parts.consensus.state.jobs.get(id);
    return job === undefined || isVisibleTo(access, job) ? Ok({}) : Err(
      fault("conflict", `Job id "${id}" is in use`, { outcome: "not run" }),
    );
  }

  /** Refuses a job that the cap of its customer can never allow to run. */
  #checkCap({ id, customer, spec }: SubmittedJob): Result<void, Fault> {
    const { consensus, log } = this.#parts;
    const allowed = checkGangs(
      spec,
      consensus.state.plan.customers.find(({ name }) => name === customer),
    );
    if (allowed.err) {
      log.info("job.refused", { job: id, customer, reason: "cap" });
    }
    return allowed;
  }

  #readQueue(
    call: Params<"read_queue">,
  ): Promise<Result<QueueResult, Fault>> {
    const { state } = this.#parts.consensus;
    const result = this.#admit(call).map(
      ({ queue, rest, access }): QueueResult => {
        if (rest === "") {
          const pendingJobs = state.pendingJobs(queue.name);
          return { kind: "queue", pendingJobs };
        }
        const job = state.jobs.get(rest);
        return job === undefined || !isVisibleTo(access, job)
          ? { kind: "no_job" }
          : { kind: "job", state: visibleState(job) };
      },
    );
    return Promise.resolve(result);
  }

  async #cancel(
    call: Params<"cancel_job">,
  ): Promise<Result<CancelResult, Fault>> {
    const { consensus, clock, log, onChange } = this.#parts;
    const admitted = this.#admit(call);
    if (admitted.err) {
      return admitted;
    }
    const { rest: id, access } = admitted.val;
    const job = consensus.state.jobs.get(id);
    if (job === undefined || !isVisibleTo(access, job)) {
      return Ok({ isKnown: false });
    }
    const cancelled = await consensus.propose({
      kind: "cancel",
      ids: [id],
      atMs: clock.wall(),
    });
    log.info("job.cancelled", {
      job: id,
      outcome: cancelled.ok ? "cancelled" : cancelled.val.kind,
    });
    onChange();
    return cancelled.map(() => ({ isKnown: true }));
  }

  async #reportWorker(
    { worker }: Params<"report_worker">,
  ): Promise<Result<unknown, Fault>> {
    const { consensus, log, onChange } = this.#parts;
    const { workers, plan } = consensus.state;
    const hasPool = plan.pools.some(({ name }) => name === worker.pool);
    if (plan.version > 0 && !hasPool) {
      return Err(
        fault("invalid", `Worker "${worker.id}" names no pool of the plan`),
      );
    }
    const known = workers.get(worker.id);
    if (isOutdatedReport(worker, known)) {
      return Ok({});
    }
    const hasRestarted = isLaterLife(known?.bornAtMs, worker.bornAtMs);
    const isLatest = this.#reportOrder.isLatest(worker, known);
    if (!isReportNews(worker, known, isLatest)) {
      return Ok({});
    }
    // Reports may arrive out of order, so a draining worker stays draining.
    const updated = known === undefined || hasRestarted ? worker : {
      ...worker,
      bornAtMs: worker.bornAtMs ?? known.bornAtMs,
      capacity: isLatest ? worker.capacity : known.capacity,
      draining: worker.draining || known.draining,
      hasLeft: known.hasLeft,
    };
    const joined = await consensus.propose({
      kind: "join",
      workers: [updated],
    });
    log.info("worker.reported", {
      worker: worker.id,
      vm: worker.vm,
      pool: worker.pool,
      address: worker.address,
      draining: worker.draining,
      cpuMilli: updated.capacity.cpuMilli,
      bornAtMs: updated.bornAtMs,
      restarted: hasRestarted,
      outcome: joined.ok ? "recorded" : joined.val.kind,
    });
    onChange();
    return joined;
  }

  async #leaveWorker(
    { id }: Params<"leave_worker">,
  ): Promise<Result<unknown, Fault>> {
    const { consensus, log, vacate } = this.#parts;
    const worker = consensus.state.workers.get(id);
    if (worker === undefined || worker.hasLeft) {
      return Ok({});
    }
    const runs = consensus.state.load(id).runs.size;
    const left = await consensus.propose({
      kind: "join",
      workers: [{ ...worker, draining: true, hasLeft: true }],
    });
    // The worker ends with this answer.
    await vacate(id);
    const runsLeft = consensus.state.load(id).runs.size;
    log.info("worker.leaving", { worker: id, runs, runsLeft });
    return left;
  }

  async #replacePlan(
    { plan }: Params<"replace_plan">,
  ): Promise<Result<unknown, Fault>> {
    const { consensus, log, onChange } = this.#parts;
    const checked = checkQueuePlan(plan);
    if (checked.err) {
      log.warn("plan.refused", {
        version: plan.version,
        reason: checked.val.message,
      });
      return checked;
    }
    const currentVersion = consensus.state.plan.version;
    if (plan.version <= currentVersion) {
      return Ok({ version: currentVersion });
    }
    const replaced = await consensus.propose({ kind: "plan", plan });
    log.info("plan.replaced", {
      version: plan.version,
      held: currentVersion,
      queues: plan.queues.length,
      outcome: replaced.ok ? "stored" : replaced.val.kind,
    });
    onChange();
    return replaced;
  }

  #readPlan(): Promise<Result<PlanResult, Fault>> {
    const { version, source } = this.#parts.consensus.state.plan;
    return Promise.resolve(
      version === 0 ? Err(noPlanFault()) : Ok({ version, source }),
    );
  }

  async #startWave(
    { wave }: Params<"start_wave">,
  ): Promise<Result<unknown, Fault>> {
    const { consensus, log, onChange } = this.#parts;
    const started = await consensus.propose({ kind: "wave", wave });
    log.info("wave.started", {
      wave: wave.id,
      vms: wave.vms.length,
      maxDown: wave.maxDown,
      outcome: started.ok ? "stored" : started.val.kind,
    });
    onChange();
    return started;
  }

  #readWave(
    { id }: Params<"read_wave">,
  ): Promise<Result<WaveResult, Fault>> {
    const record = this.#parts.consensus.state.waves.get(id);
    if (record === undefined) {
      return Promise.resolve(Err(fault("not_found", `Wave ${id} is unknown`)));
    }
    const isCompleted = record.done.length >= record.wave.vms.length;
    return Promise.resolve(Ok({ isCompleted }));
  }

  /** Finds the queue of a call, and decides on the committed plan whether the call is allowed. */
  #admit(
    { host, path, keyDigest }: Params<"read_queue">,
  ): Result<{ queue: Queue; rest: string; access: CallerAccess }, Fault> {
    const { plan } = this.#parts.consensus.state;
    if (plan.version === 0) {
      return Err(noPlanFault());
    }
    const queue = findQueue(plan, host, path);
    const decided = decideAccess(plan, queue, keyDigest);
    if (decided.err) {
      return decided;
    }
    return queue === undefined
      ? Err(
        fault("unknown_service", `No queue serves "${host}${path}"`, {
          outcome: "not run",
        }),
      )
      : Ok({
        queue,
        rest: path.slice(queue.pathPrefix.length),
        access: decided.val,
      });
  }
}

function bodyLimitFault(bodyBytes: number, maxBodyBytes: number): Fault {
  return fault(
    "too_large",
    `Body has ${bodyBytes} bytes; the operators' plan allows ${maxBodyBytes}`,
    { outcome: "not run" },
  );
}

function noPlanFault(): Fault {
  return fault("overloaded", "No plan of queues was received yet", {
    outcome: "not run",
    retryAfterMs: NO_PLAN_RETRY_AFTER_MS,
  });
}
