/**
 * Orders moves of VMs to other pools, and revokes those that an earlier leader may have ordered.
 *
 * A move is recorded before it is ordered, since its order may be carried out at any time after it was sent, also when the
 * leader is lost or gets no answer. The VM gets no new runs while this leader orders the move, and none that are costly to
 * run again until it is known that no earlier order will be carried out.
 *
 * @module
 */
import {
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

  /** Whether this leader records or orders a move of a VM. */
  isStarting(vm: string): boolean {
    return this.#starting.has(vm);
  }

  /** Whether a move of a VM is being recorded or sent, or may still be carried out. */
  mayMove(vm: string): boolean {
    return this.#starting.has(vm) || this.#jobStore.moves.has(vm);
  }

  /** Moves that this leader is recording or ordering, and the cores that each brings to its pool. */
  get pending(): { vm: string; pool: string; cores: number }[] {
    return Array.from(this.#starting.values(), ({ vm, pool }) => ({
      vm,
      pool,
      cores: this.#coresOf(vm),
    }));
  }

  /** Records moves of idle VMs, then orders them. */
  async start(moves: readonly VmMove[]): Promise<void> {
    const { consensus, onChange } = this.#parts;
    moves.forEach((move) => this.#starting.set(move.vm, move));
    const recorded = await consensus.propose({
      kind: "move",
      begun: [...moves],
      ended: [],
    });
    if (recorded.ok) {
      moves.forEach((move) => void this.#order(move));
    } else {
      moves.forEach(({ vm }) => this.#starting.delete(vm));
    }
    onChange();
  }

  /** Records the moves that have ended, and settles those that may have been ordered before. */
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
        this.#settle(move, now);
      }
    }
  }

  /**
   * Settles a move that may have been ordered. If the list still shows the VM in another pool, an order to stay there has
   * no effect but that the platform rejects the earlier one, whose fencing token is lower.
   */
  #settle({ vm, pool }: VmMove, now: number): void {
    const { vms, log } = this.#parts;
    const inDoubtSince = this.#inDoubtSince.get(vm) ?? now;
    this.#inDoubtSince.set(vm, inDoubtSince);
    const listed = vms.find(vm);
    const isCurrent = vms.listedAt > inDoubtSince;
    if (
      vms.isMissing(vm, inDoubtSince) ||
      (isCurrent && listed?.pool === pool) ||
      now - inDoubtSince > LONGEST_ORDER_DELAY_MS
    ) {
      this.#ended.add(vm);
    } else if (
      isCurrent && listed?.state === "up" && vms.isEligible(vm, now)
    ) {
      log.info("vm.move_revoked", { vm, to: pool, staysIn: listed.pool });
      void this.#revoke(vm, listed.pool);
    }
  }

  async #revoke(vm: string, pool: string): Promise<void> {
    const { vms } = this.#parts;
    if (await vms.keep(vm, pool)) {
      this.#ended.add(vm);
    }
  }

  /** Orders a move, which ends the workers of its VM. */
  async #order(move: VmMove): Promise<void> {
    const { vms, clock } = this.#parts;
    const { vm, pool } = move;
    const isDone = await vms.order(
      vm,
      { kind: "move", pool },
      { pool, cores: this.#coresOf(vm), workers: vms.workersOn(vm) },
    );
    if (isDone === undefined) {
      this.#inDoubtSince.set(vm, clock.monotonic());
    } else {
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
