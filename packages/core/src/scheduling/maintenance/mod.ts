/**
 * Waves of maintenance of the VMs.
 *
 * @module
 */
export * from "./maintenance_plan.ts";
export * from "./maintenance_waves.ts";
