/**
 * Where the tasks of one step go.
 *
 * @module
 */
export * from "./candidate_index.ts";
export * from "./candidate_worker.ts";
export * from "./fit_score.ts";
export * from "./free_cpu_index.ts";
export * from "./reserved_capacity.ts";
export * from "./slow_workers.ts";
export * from "./task_placement.ts";
export * from "./worker_reservation.ts";
