/**
 * Placement of jobs on VMs under leases.
 *
 * @module
 */
export * from "./api.ts";
export { applyJobCommand } from "./apply.ts";
export type { Explanation } from "./explain.ts";
export {
  emptyJobs,
  EndedJob,
  Job,
  JobChange,
  JobCommand,
  JobEnd,
  JobId,
  JobOutput,
  JobReply,
  Jobs,
  RunOutcome,
  StopCause,
  SubmittedJob,
} from "./job.ts";
export { AgentOperation, AgentReport, RunReport } from "./operation.ts";
export {
  Placement,
  type PlacementDecision,
  type PlacementTick,
} from "./placement.ts";
export { runCount } from "./record.ts";
export { JobRules } from "./rules.ts";
export { Size, toSize } from "./size.ts";
