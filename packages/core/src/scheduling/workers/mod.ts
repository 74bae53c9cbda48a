/**
 * What is known of one worker: its runs, orders, lease, health and speed.
 *
 * @module
 */
export * from "./best_effort_speed.ts";
export * from "./listing.ts";
export * from "./progress_watch.ts";
export * from "./relay_choice.ts";
export * from "./report_order.ts";
export * from "./run_survival.ts";
export * from "./start_window.ts";
export * from "./transit_delay.ts";
export * from "./unanswered_starts.ts";
export * from "./worker_health.ts";
export * from "./worker_lease.ts";
export * from "./worker_life.ts";
export * from "./worker_load.ts";
export * from "./worker_orders.ts";
export * from "./worker_report.ts";
export * from "./worker_speed.ts";
