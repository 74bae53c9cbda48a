/**
 * Random faults of a torture run. The schedule depends only on the seed; the leader's name, which is known only at run
 * time, is looked up when the fault is injected.
 *
 * @module
 */
import type { RandomInt } from "../harness/random_int.ts";

/**
 * Kinds of faults at an entry:
 * - `stop` freezes the process with SIGSTOP, `terminate` is a planned stop with SIGTERM.
 * - `cut` closes all links and refuses new ones.
 * - `silence` drops all bytes of the links without closing them, `silence out` only the outgoing bytes.
 * - `lose connections` drops all bytes of the present links; new ones work.
 */
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

/** A fault, and the number of requests while it lasts. */
export interface FaultStep {
  kind: FaultKind;
  /** Index of an entry; undefined for the leader. */
  entry: number | undefined;
  /** Number of requests completed before the fault ends. */
  requests: number;
  /** Delay of each chunk, for the kind `delay`. */
  delayMs: number;
}

/** One in this many faults is injected at the leader. */
const STEPS_PER_LEADER_FAULT = 3;
const MIN_REQUESTS = 50;
const MAX_REQUESTS = 600;
const MAX_DELAY_MS = 300;

/** Draws the next fault. */
export function nextStep(randomInt: RandomInt, entries: number): FaultStep {
  return {
    kind: FAULT_KINDS[randomInt(FAULT_KINDS.length)] ?? "kill",
    entry: randomInt(STEPS_PER_LEADER_FAULT) === 0
      ? undefined
      : randomInt(entries),
    requests: MIN_REQUESTS + randomInt(MAX_REQUESTS - MIN_REQUESTS),
    delayMs: 1 + randomInt(MAX_DELAY_MS),
  };
}
