/**
 * Membership: entry leases, views and the target table.
 *
 * @module
 */
export * from "./delta_map.ts";
export * from "./entry_lease.ts";
export * from "./lease_table.ts";
export * from "./renewal.ts";
export * from "./routes.ts";
export * from "./target_registry.ts";
export * from "./target_table_copy.ts";
export * from "./target_table.ts";
export * from "./view.ts";
