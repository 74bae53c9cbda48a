/**
 * Takes the VMs of maintenance waves down, and drains them first.
 *
 * An order that an earlier leader recorded, or that got no answer, may be carried out at any time. Until an order of this
 * leader is answered, the VM gets no new runs that are costly to run again, and the order is repeated under the same
 * conditions as the first one.
 *
 * @module
 */
import { groupBy } from "@quetzalcove/core";
import {
  type DueVm,
  isLaterLife,
  type JobStore,
  planMaintenance,
  type RunRecord,
  stepName,
  taskName,
  type WaveRecord,
  type Worker,
} from "@quetzalcove/core/scheduling";
import type { VmDirectory, VmDirectoryParts } from "./vm_directory.ts";
import type { WorkerSession } from "./worker_session.ts";

/** Dependencies of the maintenance controller. */
export interface MaintenanceControllerParts
  extends Pick<VmDirectoryParts, "consensus" | "clock" | "log" | "onChange"> {
  vms: VmDirectory;
  hasPendingPlacement: (worker: string) => boolean;
  session: (worker: string) => WorkerSession | undefined;
  /** Whether a move of a VM may still be carried out. */
  mayMove: (vm: string) => boolean;
}

/** Id and birth of the worker on a VM, if there is one. */
interface NamedLife {
  id?: string | undefined;
  bornAtMs?: number | undefined;
}

type MaintenancePhase = "begun" | "refused" | "done" | "gone";

export class MaintenanceController {
  readonly #parts: MaintenanceControllerParts;
  /** Workers that are being drained. */
  #draining = new Set<string>();
  /** VMs of open waves whose maintenance is outstanding. */
  #dueVms = new Set<string>();
  /** Pools in which steps waited at each look since the last decision; undefined before the first look. */
  #busyPools: ReadonlySet<string> | undefined;
  /** Long-running runs that were stopped to drain their worker and have not ended yet. */
  readonly #evacuatedRuns = new Set<RunRecord>();
  /** VMs whose maintenance is being recorded and ordered, with the ids of their waves. */
  readonly #starting = new Map<string, number>();
  /** Keys of waves and VMs for which the platform confirmed to this leader that the order was carried out. */
  readonly #confirmedDone = new Set<string>();
  /** Keys of waves and VMs whose end of maintenance is being committed. */
  readonly #recordingEnd = new Set<string>();
  /** When this leader first saw each wave, in monotonic milliseconds. */
  readonly #seenAt = new Map<number, number>();

  constructor(parts: MaintenanceControllerParts) {
    this.#parts = parts;
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  /** Whether any wave is incomplete. */
  get hasOpenWaves(): boolean {
    return this.#openWaves().length > 0;
  }

  /** Whether a worker is being drained. */
  isDraining({ id }: Worker): boolean {
    return this.#draining.has(id);
  }

  /** Whether this leader records or orders the maintenance of a VM. */
  isStarting(vm: string): boolean {
    return this.#starting.has(vm);
  }

  /**
   * Whether an order to take a VM down is being recorded or sent, or may still be carried out. Known from the job store
   * alone, so that it holds before the list of VMs was read.
   */
  mayGoDown(vm: string): boolean {
    return this.#starting.has(vm) ||
      [...this.#jobStore.wavesTakingDown(vm)].some((wave) =>
        !this.#confirmedDone.has(maintenanceKey(wave, vm))
      );
  }

  /** Whether the VM of a worker is due for maintenance, so that long-running tasks are better placed elsewhere. */
  isMaintenanceDue({ vm }: Worker): boolean {
    return vm !== undefined && this.#dueVms.has(vm);
  }

  /** Advances all open waves: finishes maintenance, starts more, and drains workers for it. */
  reconcile(now: number): void {
    const draining = new Set<string>();
    const waves = this.#openWaves();
    this.#dueVms = dueVmsOf(waves);
    if (waves.length > 0) {
      const busyPools = this.#lookAtPools();
      this.#busyPools = undefined;
      for (const record of waves) {
        this.#finishMaintenance(record, draining, now);
        this.#startMaintenance(record, busyPools, draining, now);
      }
    }
    this.#draining = draining;
    this.#evacuate(now);
  }

  /** To be called between two decisions: looks at the pools, and goes on with evacuations. */
  proceed(now: number): void {
    if (this.#dueVms.size > 0) {
      this.#busyPools = this.#lookAtPools();
      this.#evacuate(now);
    }
  }

  /**
   * Pools in which steps wait now and waited at each look before since the last decision. A decision often follows an
   * arrival, whose steps wait for a moment in any pool.
   */
  #lookAtPools(): ReadonlySet<string> {
    const waiting = new Set(
      Array.from(this.#jobStore.waiting.values(), ({ job }) => job.pool),
    );
    const before = this.#busyPools ?? waiting;
    return new Set([...waiting].filter((pool) => before.has(pool)));
  }

  #openWaves(): WaveRecord[] {
    return [...this.#jobStore.waves.values()].filter(({ wave, done }) =>
      done.length < wave.vms.length
    );
  }

  /** Records VMs that are back from maintenance or gone, and finishes what may have been ordered. */
  #finishMaintenance(
    { wave, down }: WaveRecord,
    draining: Set<string>,
    now: number,
  ): void {
    const { vms } = this.#parts;
    const seenAt = this.#seenSince(wave.id, now);
    for (const begun of down) {
      const { vm } = begun;
      if (this.#starting.has(vm)) {
        continue;
      }
      // A new worker on the VM is no proof: the old one may have crashed and the order may never have been sent.
      const isConfirmed = this.#confirmedDone.has(maintenanceKey(wave.id, vm));
      if (this.#hasLeft(vm, seenAt)) {
        void this.#recordEnd(wave.id, vm, "gone");
      } else if (isConfirmed && !vms.isAbsent(vm)) {
        void this.#recordEnd(wave.id, vm, "done");
      } else if (!isConfirmed) {
        this.#repeatOrder(wave.id, begun, draining, now);
      }
    }
  }

  /** Repeats an order that may have been sent, once the VM is as empty as for a first one. */
  #repeatOrder(
    wave: number,
    { vm, worker, bornAtMs }: WaveRecord["down"][number],
    draining: Set<string>,
    now: number,
  ): void {
    const { vms, hasPendingPlacement, mayMove, log } = this.#parts;
    const workers = vms.workersOn(vm);
    const runs = workers.flatMap((id) => [
      ...this.#jobStore.load(id).runs.keys(),
    ]);
    if (runs.length > 0 || workers.some(hasPendingPlacement)) {
      workers.forEach((id) => draining.add(id));
      return;
    }
    if (!vms.isEligible(vm, now) || mayMove(vm)) {
      return;
    }
    // Any other worker may have started after the maintenance; if it still answers later, it did.
    const current = this.#jobStore.workers.get(worker ?? "");
    const hasRestarted = isLaterLife(bornAtMs, current?.bornAtMs);
    const before = worker === undefined || hasRestarted ? [] : [worker];
    log.info("upkeep.repeated", { wave, vm, worker, workers: workers.join() });
    void this.#maintain(wave, vm, { id: worker, bornAtMs }, before);
  }

  /** Whether a VM is known to have left the fleet since `seenAt`. */
  #hasLeft(vm: string, seenAt: number): boolean {
    const { vms } = this.#parts;
    // An older list may lack VMs that were added before the wave.
    return vms.workerOn(vm) === undefined && vms.isMissing(vm, seenAt);
  }

  /** When this leader first saw a wave. */
  #seenSince(wave: number, now: number): number {
    const seenAt = this.#seenAt.get(wave) ?? now;
    this.#seenAt.set(wave, seenAt);
    return seenAt;
  }

  /** Records the end of a VM's maintenance, once although passes go on during the commit. */
  async #recordEnd(
    wave: number,
    vm: string,
    phase: "done" | "gone",
  ): Promise<void> {
    const key = maintenanceKey(wave, vm);
    if (!this.#recordingEnd.has(key)) {
      this.#recordingEnd.add(key);
      await this.#recordPhase(wave, vm, phase, this.#parts.vms.workerOn(vm));
      this.#recordingEnd.delete(key);
    }
  }

  #startMaintenance(
    { wave, down, done }: WaveRecord,
    busyPools: ReadonlySet<string>,
    draining: Set<string>,
    now: number,
  ): void {
    const { vms, clock } = this.#parts;
    const seenAt = this.#seenSince(wave.id, now);
    const starting = [...this.#starting].flatMap(([vm, id]) =>
      id === wave.id ? [vm] : []
    );
    const downVms = new Set([...down.map(({ vm }) => vm), ...starting]);
    const doneVms = new Set(done);
    const outstanding = wave.vms.filter((vm) =>
      !doneVms.has(vm) && !downVms.has(vm)
    );
    const lastingRuns = new Map(
      outstanding.map((vm) => [vm, this.#lastingRunsOn(vm)]),
    );
    const evacuations = this.#evacuations([...lastingRuns.values()].flat());
    const due: DueVm[] = [];
    for (const [vm, lasting] of lastingRuns) {
      const isKnown = vms.find(vm) !== undefined ||
        vms.workerOn(vm) !== undefined;
      if (isKnown) {
        due.push(this.#dueVm(vm, lasting, { busyPools, evacuations }, now));
      } else if (this.#hasLeft(vm, seenAt)) {
        void this.#recordEnd(wave.id, vm, "gone");
      }
    }
    const plan = planMaintenance({
      maxDown: wave.maxDown,
      down: downVms.size,
      leftMs: wave.startedAtMs + wave.durationMs - clock.wall(),
      due,
    });
    for (const vm of plan.drain) {
      const worker = vms.workerOn(vm);
      if (worker !== undefined) {
        draining.add(worker.id);
      }
    }
    for (const vm of plan.takeDown) {
      void this.#maintain(wave.id, vm, vms.workerOn(vm));
    }
  }

  /** Number of evacuations, one after the other, of each step of the given long-running runs. */
  #evacuations(runs: readonly RunRecord[]): Map<string, number> {
    const evacuations = new Map<string, number>();
    groupBy(runs, stepName).forEach((ofStep, step) => {
      const [first] = ofStep;
      const spec = first && this.#jobStore.stepOf(first);
      const atOnce = spec?.maxUnavailable ?? 0;
      evacuations.set(
        step,
        atOnce === 0 ? 0 : Math.ceil(ofStep.length / atOnce),
      );
    });
    return evacuations;
  }

  #lastingRunsOn(vm: string): RunRecord[] {
    const worker = this.#parts.vms.workerOn(vm);
    return worker === undefined
      ? []
      : [...this.#jobStore.load(worker.id).runs.values()].filter((run) =>
        this.#jobStore.stepOf(run)?.lasting === true
      );
  }

  #dueVm(
    vm: string,
    lastingRuns: readonly RunRecord[],
    { busyPools, evacuations }: {
      busyPools: ReadonlySet<string>;
      evacuations: ReadonlyMap<string, number>;
    },
    now: number,
  ): DueVm {
    const { vms, session, mayMove } = this.#parts;
    const worker = vms.workerOn(vm);
    const listed = vms.find(vm);
    const isUsable = worker !== undefined && !worker.draining &&
      !this.#parts.hasPendingPlacement(worker.id) &&
      session(worker.id)?.isInContact(now) === true;
    const isIdleStandby = worker === undefined && listed?.state === "up" &&
      vms.isStandby(listed.pool);
    return {
      vm,
      runs: worker === undefined ? 0 : this.#jobStore.load(worker.id).runs.size,
      lastingRuns: lastingRuns.length,
      evacuations: Math.max(
        0,
        ...lastingRuns.map((run) => evacuations.get(stepName(run)) ?? 0),
      ),
      isPoolBusy: worker !== undefined && busyPools.has(worker.pool),
      isDraining: worker !== undefined && this.#draining.has(worker.id),
      isUp: vms.isEligible(vm, now) && !mayMove(vm) &&
        (isUsable || isIdleStandby),
    };
  }

  /**
   * Records that the maintenance of a VM begins, then orders it. The order ends all workers that the VM has when it is
   * sent. If an earlier leader may have sent it already, only the workers in `knownBefore` are known to end.
   */
  async #maintain(
    wave: number,
    vm: string,
    worker: NamedLife | undefined,
    knownBefore?: readonly string[],
  ): Promise<void> {
    const { vms, clock } = this.#parts;
    this.#starting.set(vm, wave);
    vms.backOff(vm, clock.monotonic());
    // Committed before the order is sent, so that the next leader respects the wave's limit as well.
    if (await this.#recordPhase(wave, vm, "begun", worker)) {
      await this.#takeDown(wave, vm, knownBefore);
    }
    this.#starting.delete(vm);
  }

  async #takeDown(
    wave: number,
    vm: string,
    knownBefore: readonly string[] | undefined,
  ): Promise<void> {
    const { vms } = this.#parts;
    const workers = knownBefore ?? vms.workersOn(vm);
    const pool = vms.workerOn(vm)?.pool ?? vms.find(vm)?.pool ?? "";
    const isDone = await vms.order(
      vm,
      { kind: "upkeep", wave },
      { pool, cores: 0, workers },
    );
    if (isDone === true) {
      this.#confirmedDone.add(maintenanceKey(wave, vm));
    } else if (isDone === false && knownBefore === undefined) {
      await this.#recordPhase(wave, vm, "refused", { id: workers.at(-1) });
    }
    // The refusal of a repeated order says nothing about the first one, so the VM keeps counting as down.
  }

  async #recordPhase(
    wave: number,
    vm: string,
    phase: MaintenancePhase,
    { id: worker, bornAtMs }: NamedLife = {},
  ): Promise<boolean> {
    const { consensus, log, onChange } = this.#parts;
    const recorded = await consensus.propose({
      kind: "upkeep",
      wave,
      vm,
      phase,
      worker,
      bornAtMs,
    });
    log.info("upkeep.noted", { wave, vm, phase, worker, stored: recorded.ok });
    onChange();
    return recorded.ok;
  }

  /**
   * Stops long-running runs on draining workers, as far as the maxUnavailable of their steps allows. The runs of a step
   * follow each other, so that a wave ends late if each waits for the next decision on VMs.
   */
  #evacuate(now: number): void {
    const { session, log } = this.#parts;
    for (const run of this.#evacuatedRuns) {
      if (this.#jobStore.findRun(run) !== run) {
        this.#evacuatedRuns.delete(run);
      }
    }
    const unavailableOf = new Map<string, number>();
    for (const id of this.#draining) {
      for (const run of this.#jobStore.load(id).runs.values()) {
        const spec = this.#jobStore.stepOf(run);
        if (spec?.lasting !== true || this.#evacuatedRuns.has(run)) {
          continue;
        }
        const step = stepName(run);
        const unavailable = unavailableOf.get(step) ??
          this.#unavailableTasks(run, now);
        unavailableOf.set(step, unavailable);
        if (unavailable < (spec.maxUnavailable ?? 0)) {
          // It may not have been ready, and is counted once.
          unavailableOf.delete(step);
          this.#evacuatedRuns.add(run);
          session(id)?.requestStop(run);
          log.info("run.evacuated", {
            task: run.task,
            worker: id,
            away: unavailable,
          });
        }
      }
    }
  }

  /** Number of tasks of a run's step that are not known to be ready. */
  #unavailableTasks({ job, round, step }: RunRecord, now: number): number {
    const tasks = this.#jobStore.tasksOf({ job, round, step });
    const readyTasks = [...tasks?.records ?? []].filter(
      ([index, { worker }]) => {
        const name = taskName({ job, round, step, index });
        const run = worker === undefined
          ? undefined
          : this.#jobStore.load(worker).runs.get(name);
        return run !== undefined && !this.#evacuatedRuns.has(run) &&
          this.#parts.session(run.worker)?.isReady(run, now) === true;
      },
    );
    return (tasks?.length ?? 0) - readyTasks.length;
  }
}

/** VMs of the given waves whose maintenance is outstanding. */
function dueVmsOf(waves: readonly WaveRecord[]): Set<string> {
  const due = new Set<string>();
  for (const { wave, done } of waves) {
    const doneVms = new Set(done);
    wave.vms.filter((vm) => !doneVms.has(vm)).forEach((vm) => due.add(vm));
  }
  return due;
}

function maintenanceKey(wave: number, vm: string): string {
  return `${wave} ${vm}`;
}
