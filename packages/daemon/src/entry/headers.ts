/**
 * Selects the headers that are forwarded between callers and targets.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the entry sets or handles itself. */
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

/** Returns the end-to-end headers: without hop-by-hop headers and without those that `Connection` lists. */
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

/** Returns the end-to-end headers as sent to a target; multiple values are joined by commas. */
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
