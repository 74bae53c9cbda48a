/**
 * The random faults of a long run. The schedule depends on the seed alone; a name that a fault needs at run time, as
 * the leader's, is looked up when its turn comes.
 *
 * @module
 */
import type { Pick } from "../harness/pick.ts";

export const FAULT_KINDS = [
  "kill",
  "stop",
  "cut",
  "silence",
  "silence out",
  "delay",
  "lose connections",
  "lose disk",
  "terminate",
] as const;
export type FaultKind = typeof FAULT_KINDS[number];

/** One fault and how much work is done while it lasts. */
export interface FaultStep {
  kind: FaultKind;
  /** Number of an entry; the leader when undefined. */
  entry: number | undefined;
  /** Requests that are answered before the fault ends. */
  requests: number;
  /** Delay of each chunk, for `delay`, in milliseconds. */
  delayMs: number;
}

const STEPS_PER_LEADER_FAULT = 3;
const MIN_REQUESTS = 50;
const MAX_REQUESTS = 600;
const MAX_DELAY_MS = 300;

/** The next fault. */
export function nextStep(pick: Pick, entries: number): FaultStep {
  return {
    kind: FAULT_KINDS[pick(FAULT_KINDS.length)] ?? "kill",
    entry: pick(STEPS_PER_LEADER_FAULT) === 0 ? undefined : pick(entries),
    requests: MIN_REQUESTS + pick(MAX_REQUESTS - MIN_REQUESTS),
    delayMs: 1 + pick(MAX_DELAY_MS),
  };
}
