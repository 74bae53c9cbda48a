/**
 * Orders moves of VMs to other pools, and finishes those that an earlier leader may have ordered.
 *
 * A move is recorded before it is ordered, since its order may be carried out at any time after it was sent, also when the
 * leader is lost or gets no answer. Until an order is answered, the VM gets no new runs, which the move would end.
 *
 * @module
 */
import {
  isLaterLife,
  type JobStore,
  LONGEST_ORDER_DELAY_MS,
  type VmMove,
} from "@quetzalcove/core/scheduling";
import type { VmDirectory, VmDirectoryParts } from "./vm_directory.ts";

/** Dependencies of the move controller. */
export interface MoveControllerParts
  extends Pick<VmDirectoryParts, "consensus" | "clock" | "log" | "onChange"> {
  vms: VmDirectory;
}

/** A move to order. */
export interface MoveRequest {
  vm: string;
  pool: string;
}

const MILLICORES_PER_CORE = 1_000;

export class MoveController {
  readonly #parts: MoveControllerParts;
  /** Moves that are being recorded or ordered, by VM. */
  readonly #starting = new Map<string, VmMove>();
  /** VMs whose move has ended, which is to be recorded. */
  readonly #ended = new Set<string>();
  /** When this leader first saw a recorded move, or last got no answer to its order, in monotonic milliseconds. */
  readonly #inDoubtSince = new Map<string, number>();
  #isRecordingEnds = false;

  constructor(parts: MoveControllerParts) {
    this.#parts = parts;
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  /** Whether a move of a VM is being recorded or sent, or may still be carried out; its worker must get no new runs. */
  mayMove(vm: string): boolean {
    return this.#starting.has(vm) || this.#jobStore.moves.has(vm);
  }

  /** Moves that may still be carried out, and the cores that each brings to its pool. */
  get pending(): { vm: string; pool: string; cores: number }[] {
    const moves = new Map([...this.#jobStore.moves, ...this.#starting]);
    return Array.from(moves.values(), ({ vm, pool }) => ({
      vm,
      pool,
      cores: this.#coresOf(vm),
    }));
  }

  /** Records moves of idle VMs, then orders them. */
  async start(requests: readonly MoveRequest[]): Promise<void> {
    const { consensus, onChange, vms } = this.#parts;
    const begun = requests.map(({ vm, pool }): VmMove => {
      const worker = vms.workerOn(vm);
      return { vm, pool, worker: worker?.id, bornAtMs: worker?.bornAtMs };
    });
    begun.forEach((move) => this.#starting.set(move.vm, move));
    const recorded = await consensus.propose({
      kind: "move",
      begun,
      ended: [],
    });
    if (recorded.ok) {
      begun.forEach((move) => void this.#order(move, vms.workersOn(move.vm)));
    } else {
      begun.forEach(({ vm }) => this.#starting.delete(vm));
    }
    onChange();
  }

  /** Records the moves that have ended, and repeats those that may have been ordered before. */
  reconcile(now: number): void {
    void this.#recordEnds();
    const { moves } = this.#jobStore;
    for (const vm of this.#inDoubtSince.keys()) {
      if (!moves.has(vm)) {
        this.#inDoubtSince.delete(vm);
      }
    }
    for (const move of moves.values()) {
      if (!this.#starting.has(move.vm) && !this.#ended.has(move.vm)) {
        this.#repeat(move, now);
      }
    }
  }

  /** Repeats a move whose VM is idle, unless the order that may have been sent can no longer arrive. */
  #repeat(move: VmMove, now: number): void {
    const { vms, log } = this.#parts;
    const { vm, pool, worker, bornAtMs } = move;
    const inDoubtSince = this.#inDoubtSince.get(vm) ?? now;
    this.#inDoubtSince.set(vm, inDoubtSince);
    const workers = vms.workersOn(vm);
    const hasLeft = workers.length === 0 && vms.isMissing(vm, inDoubtSince);
    if (hasLeft || now - inDoubtSince > LONGEST_ORDER_DELAY_MS) {
      this.#ended.add(vm);
      return;
    }
    const isIdle = workers.every((id) =>
      this.#jobStore.load(id).runs.size === 0
    );
    if (isIdle && vms.isEligible(vm, now)) {
      log.info("vm.move_repeated", { vm, to: pool, worker });
      // Any other worker may have started after the move; if it still answers later, it did.
      const current = this.#jobStore.workers.get(worker ?? "");
      const hasRestarted = isLaterLife(bornAtMs, current?.bornAtMs);
      const before = worker === undefined || hasRestarted ? [] : [worker];
      this.#starting.set(vm, move);
      void this.#order(move, before, true);
    }
  }

  /** Orders a move; `workers` are those that are known to end with it. */
  async #order(
    move: VmMove,
    workers: readonly string[],
    isRepeated = false,
  ): Promise<void> {
    const { vms, clock } = this.#parts;
    const { vm, pool } = move;
    const isDone = await vms.order(
      vm,
      { kind: "move", pool },
      { pool, cores: this.#coresOf(vm), workers },
    );
    if (isDone === undefined) {
      this.#inDoubtSince.set(vm, clock.monotonic());
    } else if (isDone || !isRepeated) {
      // The refusal of a repeated order says nothing about the first one.
      this.#ended.add(vm);
    }
    this.#starting.delete(vm);
  }

  /** Records the moves that have ended, those of one decision together. */
  async #recordEnds(): Promise<void> {
    const ended = [...this.#ended];
    if (ended.length === 0 || this.#isRecordingEnds) {
      return;
    }
    this.#isRecordingEnds = true;
    const { consensus, onChange } = this.#parts;
    const recorded = await consensus.propose({
      kind: "move",
      begun: [],
      ended,
    });
    if (recorded.ok) {
      ended.forEach((vm) => this.#ended.delete(vm));
    }
    this.#isRecordingEnds = false;
    onChange();
  }

  #coresOf(vm: string): number {
    const { vms } = this.#parts;
    const cpuMilli = vms.workerOn(vm)?.capacity.cpuMilli ?? 0;
    return cpuMilli / MILLICORES_PER_CORE || (vms.find(vm)?.cores ?? 0);
  }
}
