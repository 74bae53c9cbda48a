/**
 * Converts answers of targets to replies for callers and to records for the ledger.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Answer, Settings } from "@quetzalcove/core";
import { type HttpReply, OUTCOME_HEADER } from "../problem.ts";
import type { BufferedAnswer } from "./forwarder.ts";

export const TRACE_HEADER = "x-quetzalcove-trace";
const REPLAYED_HEADER = "x-quetzalcove-replayed";

/** Returns the reply that carries a target's answer. */
export function answerReply(
  answer: BufferedAnswer,
  trace: string | undefined,
): HttpReply {
  return {
    status: answer.status,
    headers: {
      ...answer.headers,
      ...(answer.hasBody && { "content-length": String(answer.body.length) }),
      [OUTCOME_HEADER]: "done",
      ...(trace !== undefined && { [TRACE_HEADER]: trace }),
    },
    body: answer.body,
  };
}

/** Returns the part of an answer that the ledger stores; a body above the configured size is omitted. */
export function storedAnswer(
  answer: BufferedAnswer,
  limits: Settings["ledger"],
): Answer {
  const isStorable = answer.body.length <= limits.maxStoredAnswerBytes;
  return {
    status: answer.status,
    headers: Object.fromEntries(
      Object.entries(answer.headers).map((
        [name, value],
      ) => [name, Array.isArray(value) ? value.join(", ") : value]),
    ),
    bytes: answer.body.length,
    ...(isStorable && { body: answer.body.toString("base64") }),
  };
}

/** Returns the reply to a duplicate of a completed request: status 410 if the body was too large to store. */
export function replayReply(answer: Answer): HttpReply {
  if (answer.body === undefined && answer.bytes > 0) {
    const body = Buffer.from(
      JSON.stringify({
        title: "done",
        detail: `The answer of ${answer.bytes} bytes is not kept`,
      }),
    );
    return {
      status: 410,
      headers: {
        "content-type": "application/problem+json",
        "content-length": String(body.length),
        [OUTCOME_HEADER]: "done",
        [REPLAYED_HEADER]: "true",
      },
      body,
    };
  }
  const body = Buffer.from(answer.body ?? "", "base64");
  return {
    status: answer.status,
    headers: {
      ...answer.headers,
      "content-length": String(body.length),
      [OUTCOME_HEADER]: "done",
      [REPLAYED_HEADER]: "true",
    },
    body,
  };
}
