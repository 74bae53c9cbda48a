/**
 * Replicated accounts of the availability budgets. Entries report counters that only grow within one incarnation, so
 * a report that is applied twice, or after a leader change, counts once. The window is stored as a bounded number of
 * buckets, following the sliding-window error budgets of "The Site Reliability Workbook" (Beyer et al., 2018).
 *
 * @module
 */
import { z } from "zod";
import { Name } from "../names.ts";
import type { Budget } from "../rules.ts";

/** The counters of one entry for one service since the entry started. */
export const Reading = z.object({
  entry: Name,
  incarnation: z.number().int(),
  service: Name,
  /** Requests that finished, failed or were refused. */
  needed: z.number().nonnegative(),
  /** Of these, the requests that failed or were refused. */
  unserved: z.number().nonnegative(),
});
export type Reading = z.infer<typeof Reading>;

/** The estimated demand of a service at the time of a report, in slots. */
export const Peak = z.object({
  service: Name,
  slots: z.number().nonnegative(),
});
export type Peak = z.infer<typeof Peak>;

export const BudgetCommand = z.object({
  kind: z.literal("budget.account"),
  readings: z.array(Reading),
  peaks: z.array(Peak),
  at: z.number(),
});
export type BudgetCommand = z.infer<typeof BudgetCommand>;

/** Requests and unserved requests in one part of the window. */
export const Bucket = z.object({
  start: z.number(),
  needed: z.number(),
  unserved: z.number(),
});
export type Bucket = z.infer<typeof Bucket>;

/** Peak demand in one hour of the day, in slots: on the latest day, and carried over from earlier days. */
export const HourPeak = z.object({
  day: z.number().int(),
  today: z.number(),
  carried: z.number(),
});
export type HourPeak = z.infer<typeof HourPeak>;

export const Account = z.object({
  /** Oldest first. */
  buckets: z.array(Bucket),
  /** The last reading by entry. */
  readings: z.record(z.string(), Reading),
  /** By hour of the day in UTC; null for hours without a report. */
  hours: z.array(HourPeak.nullable()),
});
export type Account = z.infer<typeof Account>;

export const Accounts = z.object({
  services: z.record(z.string(), Account),
  /** Wall-clock time of the last report. */
  at: z.number(),
});
export type Accounts = z.infer<typeof Accounts>;

/** Number of buckets per window. */
const WINDOW_BUCKETS = 30;
const HOURS_PER_DAY = 24;
const HOUR_MS = 3_600_000;
const DAY_MS = HOURS_PER_DAY * HOUR_MS;
/** Share of an hourly peak that is carried over to the next day. */
const CARRIED_SHARE = 0.95;
/** Most entries whose readings are stored per service. */
const MAX_READINGS = 64;

/** The accounts before the first report. */
export function emptyAccounts(): Accounts {
  return { services: {}, at: 0 };
}

/** Applies a report to the accounts in place. `windowOf` gives the budget window of a known service in milliseconds. */
export function applyBudget(
  accounts: Accounts,
  command: BudgetCommand,
  windowOf: (service: string) => number | undefined,
): void {
  accounts.at = command.at;
  for (const reading of command.readings) {
    const windowMs = windowOf(reading.service);
    if (windowMs !== undefined) {
      recordReading(
        accountOf(accounts, reading.service),
        reading,
        command.at,
        windowMs,
      );
    }
  }
  for (const peak of command.peaks) {
    if (windowOf(peak.service) !== undefined) {
      recordPeak(accountOf(accounts, peak.service), peak.slots, command.at);
    }
  }
  for (const service of Object.keys(accounts.services)) {
    if (windowOf(service) === undefined) {
      delete accounts.services[service];
    }
  }
}

function accountOf(accounts: Accounts, service: string): Account {
  return accounts.services[service] ??= {
    buckets: [],
    readings: {},
    hours: Array<HourPeak | null>(HOURS_PER_DAY).fill(null),
  };
}

function recordReading(
  account: Account,
  reading: Reading,
  at: number,
  windowMs: number,
): void {
  const known = account.readings[reading.entry];
  if (known !== undefined && reading.incarnation < known.incarnation) {
    return;
  }
  const previous = known?.incarnation === reading.incarnation
    ? known
    : undefined;
  const needed = reading.needed - (previous?.needed ?? 0);
  const unserved = reading.unserved - (previous?.unserved ?? 0);
  if (needed < 0 || unserved < 0) {
    return;
  }
  account.readings[reading.entry] = reading;
  evictReadings(account);
  const bucket = bucketAt(account, at, windowMs);
  bucket.needed += needed;
  bucket.unserved += unserved;
}

function evictReadings(account: Account): void {
  const names = Object.keys(account.readings);
  for (const name of names.slice(0, Math.max(0, names.length - MAX_READINGS))) {
    delete account.readings[name];
  }
}

function bucketAt(account: Account, at: number, windowMs: number): Bucket {
  const bucketMs = Math.max(1, Math.ceil(windowMs / WINDOW_BUCKETS));
  const start = Math.floor(at / bucketMs) * bucketMs;
  account.buckets = account.buckets.filter((b) => b.start > at - windowMs);
  const last = account.buckets.at(-1);
  if (last !== undefined && last.start >= start) {
    return last;
  }
  const bucket = { start, needed: 0, unserved: 0 };
  account.buckets.push(bucket);
  return bucket;
}

function recordPeak(account: Account, slots: number, at: number): void {
  const hour = Math.floor(at / HOUR_MS) % HOURS_PER_DAY;
  const day = Math.floor(at / DAY_MS);
  const known = account.hours[hour];
  if (known === null || known === undefined) {
    account.hours[hour] = { day, today: slots, carried: 0 };
  } else if (day > known.day) {
    const share = CARRIED_SHARE ** (day - known.day);
    const carried = Math.max(known.today, known.carried) * share;
    account.hours[hour] = { day, today: slots, carried };
  } else {
    known.today = Math.max(known.today, slots);
  }
}

/** Budget use of a service in the window that ends now. */
export interface Spending {
  /** Requests served and unserved. */
  needed: number;
  unserved: number;
  /** Unserved requests that the budget allows in a full window, projected from the requests so far. */
  allowed: number;
  /** Remaining share of the allowed unserved requests, 0 to 1. */
  left: number;
}

/** Sums up the window. Until a full window has been observed, its requests are projected from those so far. */
export function spendingOf(
  account: Account | undefined,
  budget: Budget,
  now: number,
): Spending {
  const buckets = (account?.buckets ?? []).filter((bucket) =>
    bucket.start > now - budget.windowMs
  );
  const needed = buckets.reduce((sum, bucket) => sum + bucket.needed, 0);
  const unserved = buckets.reduce((sum, bucket) => sum + bucket.unserved, 0);
  const allowed = budget.unservedShare * needed *
    projectionFactor(buckets, budget, now);
  const left = unserved === 0 ? 1 : Math.max(0, 1 - unserved / allowed);
  return { needed, unserved, allowed, left };
}

function projectionFactor(
  buckets: Bucket[],
  budget: Budget,
  now: number,
): number {
  const first = buckets[0];
  if (first === undefined) {
    return 1;
  }
  const observedMs = Math.max(
    now - first.start,
    budget.windowMs / WINDOW_BUCKETS,
  );
  return Math.max(1, budget.windowMs / Math.max(1, observedMs));
}

/** The highest known hourly peak, in slots, for the hours of the day between the wall-clock times `from` and `to`. */
export function expectedPeak(
  account: Account | undefined,
  from: number,
  to: number,
): number | undefined {
  let highest: number | undefined;
  const first = Math.floor(from / HOUR_MS);
  const last = Math.min(Math.floor(to / HOUR_MS), first + HOURS_PER_DAY - 1);
  for (let hour = first; hour <= last; hour++) {
    const peak = account?.hours[hour % HOURS_PER_DAY];
    if (peak !== null && peak !== undefined) {
      highest = Math.max(highest ?? 0, peak.today, peak.carried);
    }
  }
  return highest;
}

/** The mean of the known hourly peaks, in slots. */
export function meanPeak(account: Account | undefined): number {
  const known = (account?.hours ?? []).filter((hour) => hour !== null);
  const sum = known.reduce(
    (total, h) => total + Math.max(h.today, h.carried),
    0,
  );
  return sum / Math.max(1, known.length);
}
