/**
 * Answers of targets as callers and the ledger get them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Answer, Settings } from "@quetzalcove/core";
import { type HttpReply, OUTCOME_HEADER } from "../problem.ts";
import type { BufferedAnswer } from "./forwarder.ts";

export const TRACE_HEADER = "x-quetzalcove-trace";
const REPLAYED_HEADER = "x-quetzalcove-replayed";

/** The reply that carries a target's answer. */
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

/** What the ledger keeps of an answer; the body only up to the configured size. */
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

/** The reply to a repeat of a request that is done. A body too large to keep is named as such. */
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
