/**
 * Conversion of addresses for Node.js.
 *
 * @module
 */
import type { Address } from "@quetzalcove/core";

/** Splits `127.0.0.1:80` or `[::1]:80` into host and port. */
export function hostAndPort(address: Address): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
