/**
 * Attribution of a worker's crash to the runs that may have caused it.
 *
 * Some tasks crash each worker that starts them, and what ran beside them is lost too. Such a task crashes a worker
 * soon after its start, so runs that are known to have run for a while are not suspects. A suspected task is on
 * probation after its next start: until it has run for a while, its worker gets no run of another job. If that worker
 * crashes too, no other job can be the cause, and the job is given up.
 *
 * @module
 */
import type { CrashSuspect } from "../model/command.ts";
import type { RunRecord, Suspicion } from "../model/job_record.ts";

/** Time after its start in which a task that crashes workers has done so. */
export const PROBATION_MS = 100;

/** Crashes with a confirmed start after which a task is given up if only its job can have caused the last one. */
const MAX_ATTRIBUTED_CRASHES = 2;

/** The same where some of the starts were not confirmed, so that fewer workers may have crashed. */
const MAX_POSSIBLE_CRASHES = 4;

/** Crashes with a confirmed start after which a task is given up, whatever started beside it. */
const MAX_CONFIRMED_CRASHES = 4;

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
  /** Whether its task was a suspect of an earlier crash. */
  wasSuspected: boolean;
}

/**
 * The runs that may have crashed their worker; none if all are known to have run for a while. Runs on probation come
 * first: what else was there had started before them, and would have crashed the worker before.
 */
export function crashSuspects(runs: readonly LostRun[]): CrashSuspect[] {
  const possible = runs.filter(({ evidence }) =>
    evidence.start !== "unsent" && evidence.survivedMs < PROBATION_MS
  );
  const onProbation = possible.filter(({ wasSuspected, evidence }) =>
    wasSuspected && evidence.start === "confirmed"
  );
  return (onProbation.length > 0 ? onProbation : possible).map(
    ({ run: { task, run, worker }, evidence }) => ({
      task,
      run,
      worker,
      isConfirmed: evidence.start === "confirmed",
    }),
  );
}

/** The suspicion against a task after one more crash. */
export function addCrash(
  suspicion: Suspicion | undefined,
  isConfirmed: boolean,
): Suspicion {
  return {
    crashes: (suspicion?.crashes ?? 0) + 1,
    confirmed: (suspicion?.confirmed ?? 0) + Number(isConfirmed),
  };
}

/** Whether a task is given up; `isOnlySuspect` says whether no other job can have caused the last crash. */
export function isCrashLoop(
  { crashes, confirmed }: Suspicion,
  isOnlySuspect: boolean,
): boolean {
  return confirmed >= MAX_CONFIRMED_CRASHES ||
    (isOnlySuspect &&
      (confirmed >= MAX_ATTRIBUTED_CRASHES || crashes >= MAX_POSSIBLE_CRASHES));
}
