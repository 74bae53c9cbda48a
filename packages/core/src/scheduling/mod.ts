/**
 * Scheduling of batch jobs (steps of tasks) on workers: pure decisions and state, without I/O.
 *
 * @module
 */
export * from "./batch_job.ts";
export * from "./command.ts";
export * from "./crash_suspects.ts";
export * from "./customer.ts";
export * from "./customer_usage.ts";
export * from "./demand_trend.ts";
export * from "./job_store.ts";
export * from "./job_record.ts";
export * from "./best_effort_speed.ts";
export * from "./placement_pass.ts";
export * from "./task_placement.ts";
export * from "./progress_watch.ts";
export * from "./queue_plan.ts";
export * from "./relay_choice.ts";
export * from "./report_order.ts";
export * from "./run_survival.ts";
export * from "./scheduler_settings.ts";
export * from "./task_name.ts";
export * from "./transit_delay.ts";
export * from "./urgency.ts";
export * from "./worker_health.ts";
export * from "./worker_lease.ts";
export * from "./worker_load.ts";
export * from "./worker_orders.ts";
export * from "./pool_demand.ts";
export * from "./pool_moves.ts";
export * from "./maintenance_plan.ts";
export * from "./work_estimate.ts";
export * from "./blocked_demands.ts";
export * from "./fit_score.ts";
export * from "./free_room_index.ts";
export * from "./look_ahead.ts";
export * from "./rack_wait.ts";
export * from "./reservation_plan.ts";
export * from "./reserved_room.ts";
export * from "./run_ends.ts";
export * from "./wait_times.ts";
export * from "./worker_timeline.ts";
