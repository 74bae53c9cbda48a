/**
 * Routes: targets that may receive requests, from their announcements and the records of their VMs.
 *
 * @module
 */
import type { Announcement } from "../announcement.ts";
import type { VmRecord } from "../fleet.ts";
import type { Route } from "../routing/mod.ts";
import type { Service } from "../rules.ts";

/** Lookup functions for services and VMs. */
export interface RouteLookup {
  service: (name: string) => Service | undefined;
  vm: (name: string) => VmRecord | undefined;
}

/** Routes of the targets whose VM belongs to the pool of their service; other targets are omitted. */
export function routesOf(
  targets: readonly Announcement[],
  lookup: RouteLookup,
): Route[] {
  const routes: Route[] = [];
  for (const announced of targets) {
    const service = lookup.service(announced.service);
    const vm = lookup.vm(announced.vm);
    if (service === undefined || vm === undefined || vm.pool !== service.pool) {
      continue;
    }
    const serving = announced.condition === "serving" && vm.phase === "serving";
    const { target, address, slots, connections } = announced;
    routes.push({
      target,
      service: service.name,
      address,
      slots,
      connections,
      state: serving ? "serving" : "leaving",
    });
  }
  return routes;
}
