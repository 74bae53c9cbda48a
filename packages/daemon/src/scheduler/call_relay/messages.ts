/**
 * Messages between the leader and the replicas that relay its calls to workers.
 *
 * @module
 */
import { RunOutcome } from "@quetzalcove/core/scheduling";
import { z } from "zod";

const Count = z.number().int().nonnegative();

/** Fields of every call: its number, which the answer repeats, and the worker that is called. */
const Call = z.object({
  call: Count,
  worker: z.string(),
  address: z.string(),
});

const RunCall = Call.extend({ task: z.string(), run: Count });

/** A call to relay. The text of a started job is not sent, since every replica holds it. */
export const RelayedCall = z.discriminatedUnion("kind", [
  RunCall.extend({
    kind: z.literal("start"),
    leaseDeadlineMs: z.number(),
    checkpoint: z.string(),
    permit: z.string(),
  }),
  RunCall.extend({ kind: z.literal("stop") }),
  RunCall.extend({ kind: z.literal("pace"), percent: z.number() }),
  Call.extend({
    kind: z.literal("renew"),
    leaseDeadlineMs: z.number().optional(),
    seenEnds: Count,
    waitMs: z.number(),
    timeoutMs: z.number(),
  }),
  /** Closes the connections to the worker; has no answer. */
  Call.extend({ kind: z.literal("disconnect") }),
]);
export type RelayedCall = z.infer<typeof RelayedCall>;

/** Asks a replica to relay the calls of a leader from now on. */
export const RelayRequest = z.object({
  /** Host of the leader, to which the answers are sent. */
  leader: z.string(),
  /** Its term, which is the fencing token of all orders. */
  term: Count,
  /** Wall-clock time of the leader, in milliseconds. */
  sentAtMs: z.number(),
});
export type RelayRequest = z.infer<typeof RelayRequest>;

/** Calls of one leader. */
export const CallFrame = RelayRequest.extend({ calls: z.array(RelayedCall) });
export type CallFrame = z.infer<typeof CallFrame>;

/** Task, run, checkpoint, progress in percent, and gauge of a running task. */
const RunningRow = z.tuple([
  z.string(),
  z.number(),
  z.string(),
  z.number(),
  z.number(),
]);

/** Number, task, run, outcome and checkpoint of an ended run. */
const EndedRow = z.tuple([
  z.number(),
  z.string(),
  z.number(),
  RunOutcome,
  z.string(),
]);

const Answer = z.object({ call: Count });

const WireStartAnswer = z.enum([
  "started",
  "superseded",
  "expired",
  "no_room",
  "no_permit",
  "invalid",
  "unwell",
  "fenced",
  "other_worker",
  "no_answer",
]);

/** Time on the worker's clock, if its answer had one. */
const ClockMs = z.number().optional();

export const RelayedAnswer = z.discriminatedUnion("kind", [
  /** The relay did not send the call and never will. */
  Answer.extend({ kind: z.literal("declined"), reason: z.string() }),
  Answer.extend({
    kind: z.literal("start"),
    answer: WireStartAnswer,
    clockMs: ClockMs,
    /** Whether another copy of the start may still be carried out. */
    isCopyInDoubt: z.boolean().optional(),
    /** How one copy was refused while another got no answer. */
    refusedCopy: WireStartAnswer.optional(),
  }),
  /** Answer to a stop or a change of pace. */
  Answer.extend({
    kind: z.literal("order"),
    answer: z.boolean(),
    clockMs: ClockMs,
  }),
  Answer.extend({
    kind: z.literal("listing"),
    clockMs: z.number(),
    running: z.array(RunningRow),
    ended: z.array(EndedRow),
    unreadableRows: Count.default(0),
    /** A relay of an earlier version does not tell. */
    hasMoreEnds: z.boolean().default(true),
    bornAtMs: Count.optional(),
  }),
  Answer.extend({ kind: z.literal("other_worker") }),
  Answer.extend({ kind: z.literal("fenced") }),
  Answer.extend({ kind: z.literal("no_answer"), reason: z.string() }),
]);
export type RelayedAnswer = z.infer<typeof RelayedAnswer>;

/** Answers of one relay. */
export const AnswerFrame = z.object({
  /** Host of the relay. */
  relay: z.string(),
  /** Term of the leader that sent the calls. */
  term: Count,
  answers: z.array(RelayedAnswer),
});
export type AnswerFrame = z.infer<typeof AnswerFrame>;

/** Methods of the messages on links. */
export const RELAY_METHODS = {
  open: "relay_open",
  calls: "relay_calls",
  answers: "relay_answers",
} as const;
