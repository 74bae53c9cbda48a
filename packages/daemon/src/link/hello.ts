/**
 * The handshake of a link.
 *
 * @module
 */
import { z } from "zod";

/** First message on a connection: names the connecting node and its cluster to the peer. */
export const Hello = z.object({ cluster: z.string(), entry: z.string() });
export type Hello = z.infer<typeof Hello>;
