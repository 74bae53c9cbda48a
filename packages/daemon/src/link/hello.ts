/**
 * The handshake of a link.
 *
 * @module
 */
import { z } from "zod";

/** Longest host and build that a hello may name; the receiver keeps them while the connection is open. */
const MAX_HOST_LENGTH = 255;
const MAX_BUILD_LENGTH = 64;

/** First message on a connection: names the connecting node and its cluster to the peer. */
export const Hello = z.object({
  cluster: z.string(),
  entry: z.string().max(MAX_HOST_LENGTH),
  /** Build that the connecting node runs; undefined if it does not tell. */
  build: z.string().max(MAX_BUILD_LENGTH).optional(),
});
export type Hello = z.infer<typeof Hello>;
