/**
 * Attribution of a worker's crash to the runs that may have caused it.
 *
 * Some tasks crash each worker that starts them, and what ran beside them is lost too. Such a task crashes a worker
 * soon after its start, so runs that are known to have run for a while are not suspects. A suspected task is on
 * probation after its next start: until it has run for a while, its worker gets no other run. At the next crash it is
 * the only suspect, or is cleared.
 *
 * @module
 */
import type { CrashSuspect } from "./command.ts";
import type { RunRecord } from "./job_record.ts";

/** Time after its start in which a task that crashes workers has done so. */
export const PROBATION_MS = 200;

/** What is known of a run's start, and for how long it is known to have run. */
export interface RunEvidence {
  /** `unanswered`: the start was sent, and may have been executed. */
  start: "unsent" | "unanswered" | "confirmed";
  survivedMs: number;
}

/** A run on a worker that crashed. */
export interface LostRun {
  run: RunRecord;
  evidence: RunEvidence;
  /** Whether its task was a suspect before. */
  wasSuspected: boolean;
}

/**
 * The runs that may have crashed their worker; none if all are known to have run for a while. Those whose tasks were
 * suspects before come first: while they are on probation, nothing else starts beside them.
 */
export function crashSuspects(runs: readonly LostRun[]): CrashSuspect[] {
  const possible = runs.filter(({ evidence }) =>
    evidence.start !== "unsent" && evidence.survivedMs < PROBATION_MS
  );
  const suspectedBefore = possible.filter(({ wasSuspected }) => wasSuspected);
  return (suspectedBefore.length > 0 ? suspectedBefore : possible).map(
    ({ run: { task, run, worker }, evidence }) => ({
      task,
      run,
      worker,
      isConfirmed: evidence.start === "confirmed",
    }),
  );
}
