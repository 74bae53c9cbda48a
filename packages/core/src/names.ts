/**
 * Schemas of the names and units that the other schemas share.
 *
 * @module
 */
import { z } from "zod";

/** A name of a VM, rack, zone, region, pool, service, team or entry. */
export const Name = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', and start with a letter or digit",
);
export type Name = z.infer<typeof Name>;

const OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
const PORT =
  "(6553[0-5]|655[0-2]\\d|65[0-4]\\d{2}|6[0-4]\\d{3}|[0-5]?\\d{1,4})";

/** An IP address and a port, for example `127.0.1.1:8080` or `[::1]:8080`. */
export const Address = z.string().regex(
  new RegExp(`^(${OCTET}(\\.${OCTET}){3}|\\[[0-9a-f:]+\\]):${PORT}$`),
  "must be an IP address and a port, for example 127.0.1.1:8080",
);
export type Address = z.infer<typeof Address>;

/** A duration in milliseconds. */
export const DurationMs = z.number().int().nonnegative().max(400 * 86_400_000);

/** The class of a request or job, most important first. */
export const PRIORITIES = ["urgent", "live", "overnight"] as const;
export const Priority = z.enum(PRIORITIES);
export type Priority = z.infer<typeof Priority>;
