/**
 * What jobs, steps, runs, workers and commands are; no decisions.
 *
 * @module
 */
export * from "./batch_job.ts";
export * from "./command.ts";
export * from "./customer.ts";
export * from "./index_set.ts";
export * from "./job_record.ts";
export * from "./memory_size.ts";
export * from "./queue_plan.ts";
export * from "./resource_sum.ts";
export * from "./scheduler_settings.ts";
export * from "./step_tasks.ts";
export * from "./task_name.ts";
export * from "./task_record.ts";
