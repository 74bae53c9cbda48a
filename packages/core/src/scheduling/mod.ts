/**
 * Scheduling of batch jobs (steps of tasks) on workers: pure decisions and state, without I/O.
 *
 * @module
 */
export * from "./batch_job.ts";
export * from "./command.ts";
export * from "./crash_suspects.ts";
export * from "./call_allowance.ts";
export * from "./customer.ts";
export * from "./customer_admission.ts";
export * from "./customer_rates.ts";
export * from "./customer_access.ts";
export { allowsStart, checkGangs, CustomerLimits } from "./customer_limits.ts";
export * from "./customer_shares.ts";
export * from "./customer_usage.ts";
export * from "./demand_trend.ts";
export * from "./expiring_set.ts";
export * from "./job_store.ts";
export * from "./maintenance_waves.ts";
export * from "./job_record.ts";
export * from "./key_cache.ts";
export * from "./best_effort_speed.ts";
export * from "./placement_order.ts";
export * from "./placement_pass.ts";
export * from "./pool_backlog.ts";
export * from "./task_placement.ts";
export * from "./progress_watch.ts";
export * from "./queue_plan.ts";
export * from "./recent_submissions.ts";
export * from "./refusal_cache.ts";
export * from "./refusal_counts.ts";
export * from "./relay_choice.ts";
export * from "./report_order.ts";
export * from "./retry_slots.ts";
export * from "./run_survival.ts";
export * from "./scheduler_settings.ts";
export * from "./task_name.ts";
export * from "./transit_delay.ts";
export * from "./unanswered_starts.ts";
export * from "./urgency.ts";
export * from "./worker_health.ts";
export * from "./worker_lease.ts";
export * from "./worker_life.ts";
export * from "./worker_load.ts";
export * from "./worker_orders.ts";
export * from "./pool_allocation.ts";
export * from "./pool_demand.ts";
export * from "./pool_moves.ts";
export * from "./maintenance_plan.ts";
export * from "./vm_reclaim.ts";
export * from "./work_estimate.ts";
