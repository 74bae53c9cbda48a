/**
 * How an emulated target treats one request. A request asks for it with a header.
 *
 * @module
 */
import { z } from "zod";

/** Header that carries a behaviour as JSON. */
export const BEHAVIOUR_HEADER = "x-emulate";

export const Behaviour = z.strictObject({
  /** Run time in milliseconds. */
  runMs: z.number().nonnegative().default(5),
  status: z.number().int().default(200),
  /** Bytes of padding in the answer. */
  padding: z.number().int().nonnegative().default(0),
  /**
   * - `short`: ends the connection before the declared end of the answer.
   * - `undeclared`: sends an answer without a declared end.
   * - `silent`: runs and never answers.
   * - `crash before`: the process ends before it ran; `crash after`: after it ran, before it answered.
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

/** The behaviour that a header asks for; the default one when there is none or it is malformed. */
export function behaviourOf(
  header: string | string[] | undefined,
  usual: Behaviour,
): Behaviour {
  if (typeof header !== "string") {
    return usual;
  }
  try {
    return Behaviour.parse({ ...usual, ...JSON.parse(header) as object });
  } catch {
    return usual;
  }
}
