/**
 * Emulated behaviour of a target for one request, which the request selects with a header.
 *
 * @module
 */
import { z } from "zod";

/** Header with the behaviour as JSON. */
export const BEHAVIOUR_HEADER = "x-emulate";

export const Behaviour = z.strictObject({
  /** Run time in milliseconds. */
  runMs: z.number().nonnegative().default(5),
  status: z.number().int().default(200),
  /** Size of the padding in the answer, in bytes. */
  padding: z.number().int().nonnegative().default(0),
  /**
   * - `short`: closes the connection before the answer has its declared length.
   * - `undeclared`: sends an answer without a declared length.
   * - `silent`: runs the request and never answers.
   * - `crash before`: the process is killed before it runs the request.
   * - `crash after`: the process is killed after it ran the request and before it answers.
   */
  failure: z.enum([
    "none",
    "short",
    "undeclared",
    "silent",
    "crash before",
    "crash after",
  ])
    .default("none"),
});
export type Behaviour = z.infer<typeof Behaviour>;

/** The behaviour that a header selects, with defaults for its absent fields; the default if absent or malformed. */
export function requestedBehaviour(
  header: string | string[] | undefined,
  defaultBehaviour: Behaviour,
): Behaviour {
  if (typeof header !== "string") {
    return defaultBehaviour;
  }
  try {
    return Behaviour.parse({
      ...defaultBehaviour,
      ...JSON.parse(header) as object,
    });
  } catch {
    return defaultBehaviour;
  }
}
