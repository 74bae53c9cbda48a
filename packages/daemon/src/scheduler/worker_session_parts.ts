/**
 * Dependencies that all sessions of a leadership term share.
 *
 * @module
 */
import type {
  SchedulerSettings,
  StartWindow,
  UnansweredStarts,
  WorkerHealth,
  WorkerSpeed,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import type { WorkerClient } from "./platform_clients.ts";
import type { RunEndBatcher } from "./run_end_batcher.ts";
import type { WorkerLoss } from "./worker_loss.ts";

export interface WorkerSessionParts {
  settings: SchedulerSettings["workers"];
  placement: SchedulerSettings["placement"];
  term: number;
  consensus: JobConsensus;
  /** Commits the run ends that workers list. */
  runEndBatcher: RunEndBatcher;
  client: WorkerClient;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Task durations, learned from the runs that ended. */
  estimate: WorkEstimate;
  health: WorkerHealth;
  /** Speeds of workers, learned from the runs that ended or are in progress. */
  speed: WorkerSpeed;
  /** The advisor's permit for running a step on a worker; undefined if there is none or it has expired. */
  permit: (step: string, worker: string) => string | undefined;
  /** Runs a synchronous function as part of an activity of the process. */
  measure: <T>(activity: string, run: () => T) => T;
  /** Whether this node is certain to be the leader still. */
  isConfirmedLeader: () => boolean;
  /** Called when capacity was freed or the worker became usable. */
  onChange: () => void;
  /** Starts of this leadership term that got no answer, of all workers and their lives. */
  unansweredStarts: UnansweredStarts;
  /** Limits of the starts that wait for an answer, of all workers. */
  startWindow: StartWindow;
  /** Called when a listing names the birth of a worker that had none, or that of a later life. */
  onBirth: (worker: string, bornAtMs: number) => void;
  /** Called when the worker certainly has no runs any more. */
  onLost: (worker: string, loss: WorkerLoss) => void;
}
