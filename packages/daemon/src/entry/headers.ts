/**
 * Headers that may cross the system.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or to the system itself. */
const NOT_FORWARDED = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
  "host",
]);

/** Headers without those of one connection, also without those that `Connection` names. */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionHeaders = parseConnectionHeader(headers.connection);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase();
    if (
      value !== undefined && !NOT_FORWARDED.has(lower) &&
      !connectionHeaders.has(lower)
    ) {
      kept[lower] = value;
    }
  }
  return kept;
}

/** Headers with one value each, as a target receives them. */
export function singleValueHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(endToEndHeaders(headers)).map((
      [name, value],
    ) => [name, Array.isArray(value) ? value.join(", ") : value]),
  );
}

function parseConnectionHeader(connection: string | undefined): Set<string> {
  const names = (connection ?? "").split(",").map((name) =>
    name.trim().toLowerCase()
  );
  return new Set(names.filter((name) => name !== ""));
}
