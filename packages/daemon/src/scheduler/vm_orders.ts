/**
 * Orders to the platform that concern VMs: at most one per VM at a time, retried until the answer is definite.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import { wait } from "../waiting.ts";
import type { VmAnswer, VmClient } from "./platform_clients.ts";

/** What an order does to a VM. */
export type VmAction =
  | { kind: "move"; pool: string }
  | { kind: "upkeep"; wave: number };

/** Dependencies of the VM orders. */
export interface VmOrdersParts {
  client: VmClient;
  term: number;
  /** Name of this node in its orders. */
  holder: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  isConfirmedLeader: () => boolean;
}

/** Fencing tokens reserved per term, so that those of a later term are always higher. */
const FENCES_PER_TERM = 1_000_000;

const RETRY_DELAY_MS = 500;

export class VmOrders {
  readonly #parts: VmOrdersParts;
  /** VMs with a pending order. */
  readonly #pending = new Set<string>();
  #orderCount = 0;
  #stopped = false;

  constructor(parts: VmOrdersParts) {
    this.#parts = parts;
  }

  /** Whether an order for a VM may still be carried out. */
  hasPendingOrder(vm: string): boolean {
    return this.#pending.has(vm);
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Orders an action, retried until the answer is definite; undefined if the leadership term ended first, or if only a
   * copy was refused and an earlier one got no answer, so that it may have been carried out.
   */
  async order(vm: string, action: VmAction): Promise<VmAnswer | undefined> {
    const { term, log, metrics, isConfirmedLeader } = this.#parts;
    this.#pending.add(vm);
    this.#orderCount += 1;
    const fence = term * FENCES_PER_TERM + this.#orderCount;
    let answer: VmAnswer | undefined;
    let isCopyInDoubt = false;
    while (!this.#stopped && !isDefinite(answer)) {
      if (answer !== undefined) {
        await wait(RETRY_DELAY_MS);
      }
      if (isConfirmedLeader()) {
        answer = await this.#send(vm, action, fence);
        isCopyInDoubt ||= answer === "no_answer";
        metrics.count("quetzalcove_vm_orders_total", {
          kind: action.kind,
          answer,
        });
      } else {
        await wait(RETRY_DELAY_MS);
      }
    }
    this.#pending.delete(vm);
    log.info("vm.ordered", {
      vm,
      order: action.kind,
      to: action.kind === "move" ? action.pool : String(action.wave),
      fence,
      answer,
      isCopyInDoubt,
    });
    const isKnown = answer === "done" || !isCopyInDoubt;
    return isKnown && isDefinite(answer) ? answer : undefined;
  }

  #send(vm: string, action: VmAction, fence: number): Promise<VmAnswer> {
    const { client, holder } = this.#parts;
    const order = { vm, holder, fence };
    return action.kind === "move"
      ? client.move(order, action.pool)
      : client.maintain(order, action.wave);
  }
}

function isDefinite(answer: VmAnswer | undefined): boolean {
  return answer !== undefined && answer !== "no_answer" &&
    answer !== "throttled";
}
