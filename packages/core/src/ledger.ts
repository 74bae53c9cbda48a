/**
 * The ledger of requests that must not be repeated. A request runs at most once per idempotency key: an entry requests
 * an attempt before it forwards, and no second attempt is granted while the first may have run.
 *
 * @module
 */
import { z } from "zod";
import { type Fault, fault } from "./fault.ts";
import { Err, Ok, type Result } from "./result.ts";

/** The stored answer of a request. `body` is base64; it is absent when the answer was too large to store. */
export const Answer = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: z.string().optional(),
  bytes: z.number().int(),
});
export type Answer = z.infer<typeof Answer>;

export const AttemptPhase = z.enum(["running", "done", "unknown"]);
export type AttemptPhase = z.infer<typeof AttemptPhase>;

export const Attempt = z.object({
  key: z.string(),
  /** Digest of method, service, path and body; the same key with another digest is refused. */
  digest: z.string(),
  /** Id of the attempt, chosen by the entry. */
  attempt: z.string(),
  entry: z.string(),
  incarnation: z.number().int(),
  service: z.string(),
  phase: AttemptPhase,
  answer: Answer.optional(),
  /** Wall-clock time of the last change, in milliseconds. */
  at: z.number(),
});
export type Attempt = z.infer<typeof Attempt>;

export const LedgerCommand = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("ledger.begin"),
    key: z.string(),
    digest: z.string(),
    attempt: z.string(),
    entry: z.string(),
    incarnation: z.number().int(),
    service: z.string(),
    at: z.number(),
  }),
  z.object({
    kind: z.literal("ledger.finish"),
    key: z.string(),
    attempt: z.string(),
    answer: Answer,
    at: z.number(),
  }),
  /** Releases an attempt that is certain not to have run. */
  z.object({
    kind: z.literal("ledger.release"),
    key: z.string(),
    attempt: z.string(),
    at: z.number(),
  }),
  /** Marks an attempt as unknown whose outcome the entry could not determine. */
  z.object({
    kind: z.literal("ledger.lose"),
    key: z.string(),
    attempt: z.string(),
    at: z.number(),
  }),
  /** Marks all running attempts of an entry incarnation as unknown once its lease is certain to have expired. */
  z.object({
    kind: z.literal("ledger.fence"),
    entry: z.string(),
    incarnation: z.number().int(),
    at: z.number(),
  }),
  /** The operator's decision on an unknown attempt: `ran` keeps the key closed, `not run` allows a new attempt. */
  z.object({
    kind: z.literal("ledger.settle"),
    key: z.string(),
    /** The attempt to settle, so that a retry cannot settle a later one. */
    attempt: z.string().optional(),
    outcome: z.enum(["ran", "not run"]),
    at: z.number(),
  }),
  z.object({ kind: z.literal("ledger.prune"), before: z.number() }),
]);
export type LedgerCommand = z.infer<typeof LedgerCommand>;

/** The result of a ledger command. */
export const LedgerOutput = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted") }),
  z.object({ kind: z.literal("running") }),
  z.object({ kind: z.literal("done"), answer: Answer }),
  z.object({ kind: z.literal("unknown") }),
  z.object({ kind: z.literal("recorded"), count: z.number().int() }),
]);
export type LedgerOutput = z.infer<typeof LedgerOutput>;

export const Ledger = z.object({
  /** Attempts that are running or whose outcome is unknown, by key. */
  open: z.record(z.string(), Attempt),
  /** Attempts that are done, by key, earliest first. */
  closed: z.record(z.string(), Attempt),
  /** The highest fenced incarnation of each entry. */
  fenced: z.record(z.string(), z.number().int()),
  /** Released attempts, whose late `begin` is refused, with the time of the release. */
  released: z.record(z.string(), z.number()),
  /** Keys that the operator settled as `not run` and that were not used since, with the time of the settlement. */
  opened: z.record(z.string(), z.number()),
});
export type Ledger = z.infer<typeof Ledger>;

export function emptyLedger(): Ledger {
  return { open: {}, closed: {}, fenced: {}, released: {}, opened: {} };
}

/** Applies a command to the ledger in place. */
export function applyLedger(
  ledger: Ledger,
  command: LedgerCommand,
): Result<LedgerOutput, Fault> {
  switch (command.kind) {
    case "ledger.begin":
      return begin(ledger, command);
    case "ledger.finish":
      return finish(ledger, command);
    case "ledger.release":
      return release(ledger, command);
    case "ledger.lose":
      return markUnknown(ledger, command);
    case "ledger.fence":
      return fence(ledger, command);
    case "ledger.settle":
      return settle(ledger, command);
    case "ledger.prune":
      return prune(ledger, command);
  }
}

const SETTLED_HEADER = "x-quetzalcove-settled";

/** The answer of an attempt that the operator settled as having run. */
const SETTLED_ANSWER: Answer = {
  status: 204,
  headers: { [SETTLED_HEADER]: "ran" },
  bytes: 0,
};

/** The attempt that holds a key; undefined when there is none. */
export function attemptOf(ledger: Ledger, key: string): Attempt | undefined {
  return ledger.open[key] ?? ledger.closed[key];
}

type CommandOf<K extends LedgerCommand["kind"]> = Extract<
  LedgerCommand,
  { kind: K }
>;

function begin(
  ledger: Ledger,
  command: CommandOf<"ledger.begin">,
): Result<LedgerOutput, Fault> {
  const fenced = ledger.fenced[command.entry] ?? -1;
  if (command.incarnation <= fenced) {
    return Err(
      fault(
        "fenced",
        `Entry "${command.entry}" incarnation ${command.incarnation} is fenced`,
        {
          outcome: "not run",
        },
      ),
    );
  }
  if (ledger.released[command.attempt] !== undefined) {
    return Err(
      fault("fenced", `Attempt "${command.attempt}" was released`, {
        outcome: "not run",
      }),
    );
  }
  const known = attemptOf(ledger, command.key);
  if (known === undefined) {
    const { kind: _kind, ...attempt } = command;
    ledger.open[command.key] = { ...attempt, phase: "running" };
    delete ledger.opened[command.key];
    return Ok({ kind: "granted" });
  }
  return repeatedBegin(known, command);
}

function repeatedBegin(
  known: Attempt,
  command: CommandOf<"ledger.begin">,
): Result<LedgerOutput, Fault> {
  if (known.digest !== command.digest) {
    return Err(
      fault("key_reused", `Idempotency-Key was used for another request`, {
        remedy: "Choose a new key for a new request",
        outcome: "not run",
      }),
    );
  }
  if (known.phase === "done" && known.answer !== undefined) {
    return Ok({ kind: "done", answer: known.answer });
  }
  if (known.phase === "unknown") {
    return Ok({ kind: "unknown" });
  }
  // A retry with the same attempt id after a lost answer gets the same grant.
  return Ok({
    kind: known.attempt === command.attempt ? "granted" : "running",
  });
}

function findHolder(
  ledger: Ledger,
  key: string,
  attempt: string,
): Result<Attempt, Fault> {
  const known = attemptOf(ledger, key);
  if (known === undefined || known.attempt !== attempt) {
    return Err(
      fault("not_found", `Attempt "${attempt}" does not hold key "${key}"`),
    );
  }
  return Ok(known);
}

function finish(
  ledger: Ledger,
  command: CommandOf<"ledger.finish">,
): Result<LedgerOutput, Fault> {
  return findHolder(ledger, command.key, command.attempt).map((known) => {
    // A late answer to an unknown attempt settles its outcome.
    close(ledger, known, command);
    return { kind: "recorded", count: 1 } as const;
  });
}

function close(
  ledger: Ledger,
  attempt: Attempt,
  end: { answer: Answer; at: number },
): void {
  const { key } = attempt;
  delete ledger.open[key];
  delete ledger.closed[key];
  ledger.closed[key] = {
    ...attempt,
    phase: "done",
    answer: end.answer,
    at: end.at,
  };
}

function release(
  ledger: Ledger,
  command: CommandOf<"ledger.release">,
): Result<LedgerOutput, Fault> {
  const known = attemptOf(ledger, command.key);
  ledger.released[command.attempt] = command.at;
  if (known === undefined || known.attempt !== command.attempt) {
    return Ok({ kind: "recorded", count: 0 });
  }
  if (known.phase !== "running") {
    return Err(
      fault("conflict", `Attempt "${command.attempt}" is ${known.phase}`),
    );
  }
  delete ledger.open[command.key];
  return Ok({ kind: "recorded", count: 1 });
}

function markUnknown(
  ledger: Ledger,
  command: CommandOf<"ledger.lose">,
): Result<LedgerOutput, Fault> {
  return findHolder(ledger, command.key, command.attempt).map((known) => {
    if (known.phase === "running") {
      known.phase = "unknown";
      known.at = command.at;
    }
    return { kind: "recorded", count: 1 } as const;
  });
}

function fence(
  ledger: Ledger,
  command: CommandOf<"ledger.fence">,
): Result<LedgerOutput, Fault> {
  const previous = ledger.fenced[command.entry] ?? -1;
  ledger.fenced[command.entry] = Math.max(previous, command.incarnation);
  let count = 0;
  for (const attempt of Object.values(ledger.open)) {
    const isFenced = attempt.entry === command.entry &&
      attempt.incarnation <= command.incarnation;
    if (isFenced && attempt.phase === "running") {
      attempt.phase = "unknown";
      attempt.at = command.at;
      count += 1;
    }
  }
  return Ok({ kind: "recorded", count });
}

function settle(
  ledger: Ledger,
  command: CommandOf<"ledger.settle">,
): Result<LedgerOutput, Fault> {
  const known = attemptOf(ledger, command.key);
  if (isSettled(ledger, command, known)) {
    return Ok({ kind: "recorded", count: 0 });
  }
  if (
    known === undefined || known.attempt !== (command.attempt ?? known.attempt)
  ) {
    return Err(fault("not_found", `No attempt holds key "${command.key}"`));
  }
  if (known.phase !== "unknown") {
    return Err(
      fault(
        "conflict",
        `The attempt of key "${command.key}" is ${known.phase}, not unknown`,
      ),
    );
  }
  if (command.outcome === "not run") {
    delete ledger.open[command.key];
    ledger.opened[command.key] = command.at;
    // A `begin` of this attempt may still be in transit.
    ledger.released[known.attempt] = command.at;
  } else {
    close(ledger, known, { answer: SETTLED_ANSWER, at: command.at });
  }
  return Ok({ kind: "recorded", count: 1 });
}

/** Whether the same settlement was already recorded; its answer may have been lost. */
function isSettled(
  ledger: Ledger,
  command: CommandOf<"ledger.settle">,
  known: Attempt | undefined,
): boolean {
  if (command.outcome === "ran") {
    const isSame = known?.attempt === (command.attempt ?? known?.attempt);
    return isSame && known?.answer?.headers[SETTLED_HEADER] === "ran";
  }
  return command.attempt === undefined
    ? ledger.opened[command.key] !== undefined
    : ledger.released[command.attempt] !== undefined;
}

function prune(
  ledger: Ledger,
  command: CommandOf<"ledger.prune">,
): Result<LedgerOutput, Fault> {
  let count = 0;
  for (const [key, attempt] of Object.entries(ledger.closed)) {
    if (attempt.at >= command.before) {
      break;
    }
    delete ledger.closed[key];
    count += 1;
  }
  pruneTimes(ledger.released, command.before);
  pruneTimes(ledger.opened, command.before);
  return Ok({ kind: "recorded", count });
}

function pruneTimes(times: Record<string, number>, before: number): void {
  for (const [name, at] of Object.entries(times)) {
    if (at < before) {
      delete times[name];
    }
  }
}
