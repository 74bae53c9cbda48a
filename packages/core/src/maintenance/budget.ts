/**
 * Accounts of the availability budgets. Each entry reports counters that only grow within one incarnation, so a
 * report that is applied twice, or after a change of leader, counts once. The window is kept as a bounded number of
 * buckets, after the sliding-window error budgets of "The Site Reliability Workbook" (Beyer et al., 2018).
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
  /** Requests that callers needed. */
  needed: z.number().nonnegative(),
  /** Of these, the requests that were not served. */
  unserved: z.number().nonnegative(),
});
export type Reading = z.infer<typeof Reading>;

/** The high quantile of the slots that a service needed since the last report. */
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

/** Need and unserved need of one part of the window. */
export const Bucket = z.object({
  start: z.number(),
  needed: z.number(),
  unserved: z.number(),
});
export type Bucket = z.infer<typeof Bucket>;

/** The highest need seen in one hour of the day: today, and carried over from the days before. */
export const HourPeak = z.object({
  day: z.number().int(),
  today: z.number(),
  carried: z.number(),
});
export type HourPeak = z.infer<typeof HourPeak>;

export const Account = z.object({
  /** Oldest first. */
  buckets: z.array(Bucket),
  /** The last reading of each entry. */
  readings: z.record(z.string(), Reading),
  /** By hour of the day, UTC; null where nothing was seen. */
  hours: z.array(HourPeak.nullable()),
});
export type Account = z.infer<typeof Account>;

export const Accounts = z.object({
  services: z.record(z.string(), Account),
  /** Wall-clock time of the last report. */
  at: z.number(),
});
export type Accounts = z.infer<typeof Accounts>;

/** Buckets that a window is divided into. */
const WINDOW_BUCKETS = 30;
const HOURS_PER_DAY = 24;
const HOUR_MS = 3_600_000;
const DAY_MS = HOURS_PER_DAY * HOUR_MS;
/** Share of an hour's peak that is carried over to the next day. */
const CARRIED_SHARE = 0.95;
/** Entries whose readings are kept for one service. */
const MAX_READINGS = 64;

/** No accounts, in force before the first report. */
export function emptyAccounts(): Accounts {
  return { services: {}, at: 0 };
}

/** Applies a report to the accounts in place; `windowOf` gives the budget window of a known service. */
export function applyBudget(
  accounts: Accounts,
  command: BudgetCommand,
  windowOf: (service: string) => number | undefined,
): void {
  accounts.at = command.at;
  for (const reading of command.readings) {
    const windowMs = windowOf(reading.service);
    if (windowMs !== undefined) {
      record(
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

function record(
  account: Account,
  reading: Reading,
  at: number,
  windowMs: number,
): void {
  const known = account.readings[reading.entry];
  if (known !== undefined && reading.incarnation < known.incarnation) {
    return;
  }
  const base = known?.incarnation === reading.incarnation ? known : undefined;
  const needed = reading.needed - (base?.needed ?? 0);
  const unserved = reading.unserved - (base?.unserved ?? 0);
  if (needed < 0 || unserved < 0) {
    return;
  }
  account.readings[reading.entry] = reading;
  forgetReadings(account);
  const bucket = bucketAt(account, at, windowMs);
  bucket.needed += needed;
  bucket.unserved += unserved;
}

function forgetReadings(account: Account): void {
  const names = Object.keys(account.readings);
  for (const name of names.slice(0, Math.max(0, names.length - MAX_READINGS))) {
    delete account.readings[name];
  }
}

function bucketAt(account: Account, at: number, windowMs: number): Bucket {
  const width = Math.max(1, Math.ceil(windowMs / WINDOW_BUCKETS));
  const start = Math.floor(at / width) * width;
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

/** What a service has spent of its budget in the window that ends now. */
export interface Spending {
  needed: number;
  unserved: number;
  /** Unserved need that the budget allows in a whole window at the need seen so far. */
  allowed: number;
  /** Share of the allowance that is left, 0 to 1. */
  left: number;
}

/** Adds up a window. While less than a window has been seen, its need is projected from what was seen. */
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
    projection(buckets, budget, now);
  const left = unserved === 0 ? 1 : Math.max(0, 1 - unserved / allowed);
  return { needed, unserved, allowed, left };
}

function projection(buckets: Bucket[], budget: Budget, now: number): number {
  const first = buckets[0];
  if (first === undefined) {
    return 1;
  }
  const seen = Math.max(now - first.start, budget.windowMs / WINDOW_BUCKETS);
  return Math.max(1, budget.windowMs / Math.max(1, seen));
}

/** The highest need, in slots, that the hours from `from` to `to` have shown. */
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

/** The mean, over the hours of the day that were seen, of their highest need in slots. */
export function meanPeak(account: Account | undefined): number {
  const seen = (account?.hours ?? []).filter((hour) => hour !== null);
  const sum = seen.reduce(
    (total, h) => total + Math.max(h.today, h.carried),
    0,
  );
  return sum / Math.max(1, seen.length);
}
