/**
 * The handshake of a link.
 *
 * @module
 */
import { z } from "zod";

/** First message on a connection: names the connecting node and its cluster to the peer. */
export const Hello = z.object({
  cluster: z.string(),
  entry: z.string(),
  /** Build that the connecting node runs; undefined if it does not tell. */
  build: z.string().optional(),
});
export type Hello = z.infer<typeof Hello>;
