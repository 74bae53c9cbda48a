/**
 * Who is refused, and when to try again.
 *
 * @module
 */
export * from "./customer_admission.ts";
export * from "./memory_limit.ts";
export * from "./placeable.ts";
export * from "./pool_backlog.ts";
export * from "./recent_submissions.ts";
export * from "./refusal_cache.ts";
export * from "./refusal_counts.ts";
export * from "./release_forecast.ts";
export * from "./retry_slots.ts";
