/**
 * `quetzalcove requests` and `quetzalcove settle`: requests that must not be executed twice, and their outcomes.
 *
 * @module
 */
import {
  AttemptPhase,
  Attempts,
  Err,
  Ok,
  type Result,
  Settlement,
} from "@quetzalcove/core";
import { z } from "zod";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { type Failure, usageFailure } from "../failure.ts";
import { formatDuration, formatTable } from "../format.ts";

export const REQUESTS: Command = {
  name: "requests",
  parameters: "",
  summary: "List requests that must not be repeated, by outcome",
  details: `
"unknown" means that the entry was lost while the request may have run. Check the
service's own records, then use "quetzalcove settle".`,
  options: [{
    flags: "--phase <phase>",
    summary: "running, done or unknown (default unknown)",
  }],
  examples: ["requests", "requests --phase running"],
  run: list,
};

export const SETTLE: Command = {
  name: "settle",
  parameters: "<key> <outcome>",
  summary: 'Record whether an unknown request "ran" or was "not run"',
  details: `
"ran" closes the key: a retry is told that the request is done. "not run" opens it:
a retry with the same key runs. Use "not run" only if the service's own records show it,
because the request would otherwise run twice.`,
  options: [],
  examples: [
    "settle observer-17/night-3 ran",
    'settle pilot-9/vfr-2 "not run"',
  ],
  run: settle,
};

const COLUMNS = [
  { heading: "KEY" },
  { heading: "PHASE" },
  { heading: "SERVICE" },
  { heading: "ENTRY" },
  { heading: "SINCE" },
  { heading: "STATUS" },
];

async function list(invocation: Invocation): Promise<CommandResult> {
  const { options, runtime } = invocation;
  const phase = readPhase(options.text("phase"));
  const connected = invocation.connect();
  if (phase.err) {
    return phase;
  }
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: `/v1/requests?phase=${phase.val}`,
    answer: Attempts,
  });
  return found.map((data) => {
    const rows = data.attempts
      .toSorted((a, b) => a.at - b.at)
      .map((attempt) => [
        attempt.key,
        attempt.phase,
        attempt.service,
        attempt.entry,
        `${formatDuration(Math.max(0, runtime.now() - attempt.at))} ago`,
        attempt.answer?.status ?? "-",
      ]);
    const text = rows.length === 0
      ? `No ${phase.val} requests\n`
      : formatTable(COLUMNS, rows);
    return { text, data };
  });
}

function readPhase(text = "unknown"): Result<AttemptPhase, Failure> {
  const phase = AttemptPhase.safeParse(text);
  return phase.success
    ? Ok(phase.data)
    : Err(usageFailure(`--phase is running, done or unknown, not "${text}"`));
}

async function settle(invocation: Invocation): Promise<CommandResult> {
  const [key, outcome] = invocation.args;
  const settlement = Settlement.safeParse({ key, outcome });
  if (!settlement.success) {
    return Err(
      usageFailure(
        `The outcome is ran or "not run", not "${outcome}"`,
        'Write "not run" in quotes',
      ),
    );
  }
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const settled = await connected.val.call({
    method: "POST",
    path: "/v1/requests/settle",
    body: settlement.data,
    answer: z.unknown(),
    whenUncertain: "quetzalcove requests shows whether the key is still open",
  });
  return settled.map(() => ({
    text: `Key ${key} is settled: ${outcome}\n`,
    data: settlement.data,
  }));
}
