/**
 * What the leader knows about VMs: the platform's list, the workers on them, and those absent because of its orders.
 *
 * @module
 */
import { type Fault, Ok, type Result } from "@quetzalcove/core";
import {
  type BatchJobSpec,
  isLaterLife,
  type JobStore,
  VmShapes,
  type Worker,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import type { ListedVm, VmClient } from "./platform_clients.ts";
import { lossOfEnded, type WorkerLoss } from "./worker_loss.ts";
import { type VmAction, VmOrders, type VmOrdersParts } from "./vm_orders.ts";

/** Dependencies of the VM directory. */
export interface VmDirectoryParts extends VmOrdersParts {
  client: VmClient;
  consensus: JobConsensus;
  clock: Clock;
  log: Log;
  /** Whether a worker answered a call that was sent after `at`, in monotonic milliseconds. */
  hasAnsweredSince: (worker: string, at: number) => boolean;
  /** Whether a worker was in contact at some time before `since` and has not answered from then to `until`. */
  wasSilent: (worker: string, since: number, until: number) => boolean;
  /** When contact was last lost with a worker that has runs and is still silent; undefined if there is none. */
  lastSilenceAt: () => number | undefined;
  /** Ends the session of a worker that has ended, and removes it from the job store. */
  removeWorker: (worker: string, loss: WorkerLoss) => Promise<void>;
  onChange: () => void;
}

/** A VM that left its pool or went down by an order of this leader. */
export interface Absence {
  /** Pool to which the VM returns, and the cores that it adds there. */
  pool: string;
  cores: number;
  /** Workers that the order ended; the job store may still hold them for a moment. */
  workers: readonly string[];
  /** Births of these workers when it was sent; one that restarted since is another one. */
  births: ReadonlyMap<string, number | undefined>;
  /** Workers that reported while the order was in progress: ended by it, unless it had been carried out earlier. */
  unconfirmed: readonly string[];
  /** When the order was answered, in monotonic milliseconds. */
  answeredAt: number;
  /** From when a list shows whether the VM is back in a standby pool, in monotonic milliseconds. */
  listedFrom: number;
}

/** Age at which the list of VMs is refreshed when contact with a worker was lost since. */
const MIN_REFRESH_MS = 200;

/** Age at which it is refreshed while workers are silent, or moves or maintenance are in progress. */
const ACTIVE_REFRESH_MS = 500;

/** Age at which the list of VMs is refreshed otherwise. */
const IDLE_REFRESH_MS = 15_000;

/** Time after an order during which the list may still show the VM as before: one maintenance and the list's lag. */
const MIN_ABSENCE_MS = 3_000;

/** Time for which the list may show the worker on a VM as before. */
const LIST_LAG_MS = 500;

/** Back-off before a VM whose order was refused is chosen again: about one maintenance. */
const REFUSED_BACKOFF_MS = 2_000;

export class VmDirectory {
  readonly #parts: VmDirectoryParts;
  readonly #orders: VmOrders;
  #listed = new Map<string, ListedVm>();
  #listedAt = -Infinity;
  /** Shapes of all VMs that this leader has known. */
  readonly #shapes = new VmShapes();
  /** Whether the list has VMs whose shape is not known. */
  #hasUnknownShapes = false;
  #unnamedRecords = 0;
  /** The list before the last one, and when it was requested. */
  #earlierList:
    | { vms: ReadonlyMap<string, ListedVm>; unnamedRecords: number; at: number }
    | undefined;
  #isRefreshing = false;
  readonly #absences = new Map<string, Absence>();
  readonly #backOffUntil = new Map<string, number>();
  #workers = new Map<string, Worker>();

  constructor(parts: VmDirectoryParts) {
    this.#parts = parts;
    this.#orders = new VmOrders(parts);
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  stop(): void {
    this.#orders.stop();
  }

  /** When the list as last read was requested, in monotonic milliseconds; -Infinity before the first one. */
  get listedAt(): number {
    return this.#listedAt;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#listedAt !== -Infinity;
  }

  /**
   * Whether a VM is missing in the last two lists, both requested after `since`. One list is no proof: it is read in pages,
   * between which records may move from a page to an earlier one.
   */
  isMissing(vm: string, since: number): boolean {
    return this.#earlierList !== undefined && this.#earlierList.at > since &&
      this.#unnamedRecords === 0 && !this.#listed.has(vm) &&
      this.#earlierList.unnamedRecords === 0 && !this.#earlierList.vms.has(vm);
  }

  /** Refuses a job with tasks that no VM or worker can run of which this leader has known; if in doubt, none. */
  checkPlaceable(spec: BatchJobSpec): Result<void, Fault> {
    if (!this.isLoaded || this.#hasUnknownShapes) {
      return Ok.EMPTY;
    }
    const listed = this.#shapes.check(spec);
    if (listed.ok) {
      return listed;
    }
    // A worker may have reported a VM that is not in the list yet.
    for (const { capacity, labels } of this.#jobStore.workers.values()) {
      this.#shapes.add({ capacity, labels });
    }
    return this.#shapes.check(spec);
  }

  get listed(): Iterable<ListedVm> {
    return this.#listed.values();
  }

  get absences(): Iterable<Absence> {
    return this.#absences.values();
  }

  /** The VM as last listed. */
  find(vm: string): ListedVm | undefined {
    return this.#listed.get(vm);
  }

  /** The worker on a VM. */
  workerOn(vm: string): Worker | undefined {
    return this.#workers.get(vm);
  }

  /** All workers of the job store on a VM: an ended one may still be there beside its successor. */
  workersOn(vm: string): string[] {
    return [...this.#jobStore.workers.values()]
      .filter((worker) => worker.vm === vm)
      .map(({ id }) => id);
  }

  #birthOf(worker: string): number | undefined {
    return this.#jobStore.workers.get(worker)?.bornAtMs;
  }

  /** Whether an order for a VM may still be carried out. */
  hasPendingOrder(vm: string): boolean {
    return this.#orders.hasPendingOrder(vm);
  }

  /** Whether a VM left its pool or went down by an order of this leader and is not back yet. */
  isAbsent(vm: string): boolean {
    return this.#absences.has(vm);
  }

  /** Whether a VM may be chosen for an order. */
  isEligible(vm: string, now: number): boolean {
    return !this.hasPendingOrder(vm) && !this.isAbsent(vm) &&
      now >= (this.#backOffUntil.get(vm) ?? -Infinity);
  }

  /** Makes a VM ineligible for orders for a while. */
  backOff(vm: string, now: number): void {
    this.#backOffUntil.set(vm, now + REFUSED_BACKOFF_MS);
  }

  isStandby(pool: string): boolean {
    return this.#jobStore.plan.pools.some(({ name, standby }) =>
      name === pool && standby
    );
  }

  /** Updates the workers from the job store, and refreshes the list if it is due. */
  refresh(now: number, expectsChanges: boolean): void {
    this.#workers = new Map();
    for (const worker of this.#jobStore.workers.values()) {
      if (worker.vm !== undefined) {
        this.#workers.set(worker.vm, worker);
      }
    }
    this.#detectReturns();
    if (
      !this.#isRefreshing &&
      now - this.#listedAt >= this.#maxAgeMs(expectsChanges) &&
      this.#parts.isConfirmedLeader()
    ) {
      void this.#refreshList();
    }
  }

  /** Age at which the list is refreshed. It tells whether a silent worker has ended. */
  #maxAgeMs(expectsChanges: boolean): number {
    const silenceAt = this.#parts.lastSilenceAt();
    if (silenceAt !== undefined && silenceAt > this.#listedAt) {
      return MIN_REFRESH_MS;
    }
    const isActive = expectsChanges || this.#absences.size > 0 ||
      silenceAt !== undefined;
    return isActive ? ACTIVE_REFRESH_MS : IDLE_REFRESH_MS;
  }

  /** Removes silent workers that the list, requested at `sentAt`, shows to have ended. */
  #removeEndedWorkers(sentAt: number): void {
    const { wasSilent, removeWorker } = this.#parts;
    for (const worker of this.#jobStore.workers.values()) {
      const { id, vm } = worker;
      const listed = vm === undefined ? undefined : this.#listed.get(vm);
      const hasEnded = listed?.worker !== undefined && listed.worker !== id;
      if (hasEnded && wasSilent(id, sentAt - LIST_LAG_MS, sentAt)) {
        const isOrdered = listed.state === "moving" ||
          listed.state === "upkeep";
        const reason = `its VM is listed as ${listed.state} without it`;
        void removeWorker(id, lossOfEnded(worker, reason, isOrdered));
      }
    }
  }

  /**
   * Sends an order and, once it is carried out, records the absence and removes its workers, which the order has ended.
   * Returns whether it was carried out; undefined if that is not known. The answer is the same if the order had been
   * carried out earlier, so workers that reported since are kept: they may still be running.
   */
  async order(
    vm: string,
    action: VmAction,
    absence: Pick<Absence, "pool" | "cores" | "workers">,
  ): Promise<boolean | undefined> {
    const { clock, removeWorker } = this.#parts;
    const births = new Map(
      absence.workers.map((id) => [id, this.#birthOf(id)]),
    );
    const answer = await this.#orders.order(vm, action);
    const now = clock.monotonic();
    if (answer === "done") {
      const hasEnded = (id: string): boolean =>
        births.has(id) && !isLaterLife(births.get(id), this.#birthOf(id));
      const unconfirmed = this.workersOn(vm).filter((id) => !hasEnded(id));
      // Only a VM that was in the standby pool before can be listed there before it is back.
      const isNewToStandby = action.kind === "move" &&
        this.isStandby(action.pool);
      const listedFrom = isNewToStandby ? now : now + MIN_ABSENCE_MS;
      this.#absences.set(vm, {
        ...absence,
        births,
        unconfirmed,
        answeredAt: now,
        listedFrom,
      });
      for (const worker of absence.workers.filter(hasEnded)) {
        await removeWorker(worker, {
          kind: "ordered",
          reason: `VM ${action.kind} order carried out`,
        });
      }
    } else {
      this.backOff(vm, now);
    }
    return answer === undefined ? undefined : answer === "done";
  }

  /**
   * Orders a VM to stay in its pool, after which the platform rejects earlier orders for it; returns whether it confirmed
   * that.
   */
  async keep(vm: string, pool: string): Promise<boolean> {
    const answer = await this.#orders.order(vm, { kind: "move", pool });
    this.backOff(vm, this.#parts.clock.monotonic());
    return answer === "done";
  }

  /** Ends absences: a VM is back when a new worker on it has reported, or is listed as up in a standby pool. */
  #detectReturns(): void {
    const { hasAnsweredSince } = this.#parts;
    for (const [vm, absence] of this.#absences) {
      const { answeredAt, listedFrom, births, unconfirmed } = absence;
      const current = this.workerOn(vm);
      const listedVm = this.#listed.get(vm);
      const isBack = current === undefined
        ? this.#listedAt > listedFrom && listedVm?.state === "up" &&
          this.isStandby(listedVm.pool)
        : (!births.has(current.id) ||
          isLaterLife(births.get(current.id), current.bornAtMs)) &&
          (!unconfirmed.includes(current.id) ||
            hasAnsweredSince(current.id, answeredAt));
      if (isBack) {
        this.#absences.delete(vm);
        this.#parts.onChange();
      }
    }
  }

  async #refreshList(): Promise<void> {
    const { client, clock, log, onChange } = this.#parts;
    this.#isRefreshing = true;
    const sentAt = clock.monotonic();
    const list = await client.list();
    this.#isRefreshing = false;
    if (list === undefined) {
      log.warn("fleet.list_failed", {
        ageMs: Math.round(sentAt - this.#listedAt),
      });
      return;
    }
    this.#earlierList = {
      vms: this.#listed,
      unnamedRecords: this.#unnamedRecords,
      at: this.#listedAt,
    };
    this.#listed = new Map(list.vms.map((vm) => [vm.vm, vm]));
    this.#unnamedRecords = list.unnamedRecords;
    this.#hasUnknownShapes = list.unnamedRecords > 0 ||
      list.vms.some(({ shape }) => shape === undefined);
    list.vms.forEach(({ shape }) => shape && this.#shapes.add(shape));
    this.#listedAt = sentAt;
    this.#removeEndedWorkers(sentAt);
    onChange();
  }
}
