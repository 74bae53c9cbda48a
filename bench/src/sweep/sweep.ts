/**
 * Sweeps of the users' bench: load by role at several sizes of one deployment, read from entries of the journal.
 *
 * @module
 */
import { z } from "zod";
import type { Sample } from "../capacity/fit.ts";

/** The fields of a journal entry that a sweep needs; other fields are ignored. */
const JournalEntry = z.object({
  id: z.string(),
  /** Begin and end, in ISO 8601; the end is empty while the run has not finished. */
  at: z.tuple([z.string(), z.string()]),
  cmd: z.string(),
  argv: z.array(z.string()),
  ok: z.boolean(),
  /** The report as printed. */
  digest: z.string(),
  days: z.array(z.object({
    name: z.string(),
    /** Workers that the day began with. */
    servers: z.number(),
    served: z.number(),
    rules: z.record(z.string(), z.unknown()),
  })),
});
type JournalEntry = z.infer<typeof JournalEntry>;

/** One quantity at the sizes of a sweep. */
export interface SweptQuantity {
  /** For example `replica: memory MB`. */
  name: string;
  /** By number of workers; of the machine with the largest value. */
  samples: Sample[];
}

/** A day of a sweep. */
export interface SweptDay {
  workers: number;
  /** Share of the requested work that was served, from 0 to 1. */
  served: number;
  brokenRules: string[];
}

export interface Sweep {
  id: string;
  /** File name of the deployment. */
  deployment: string;
  days: SweptDay[];
  quantities: SweptQuantity[];
}

/** The values of a row come in pairs: of the median machine, then of the one with the largest value. */
const PAIR = /(\d[\d.]*) \/ (\d[\d.]*)/g;

/** A row begins with the name of its quantity, padded to a fixed width. */
const ROW = /^(\S.*?) {2,}(?=\d[\d.]* \/ )/;

/** Returns the last sweep of each deployment that played at least two sizes; `texts` are journal entries in JSON. */
export function latestSweeps(texts: readonly string[]): Sweep[] {
  const latest = new Map<string, JournalEntry>();
  for (const text of texts) {
    const entry = JournalEntry.safeParse(JSON.parse(text));
    if (!entry.success || !isFinishedSweep(entry.data)) {
      continue;
    }
    const deployment = deploymentOf(entry.data);
    const known = latest.get(deployment);
    if (known === undefined || known.at[0] < entry.data.at[0]) {
      latest.set(deployment, entry.data);
    }
  }
  return [...latest.values()].map(sweepOf);
}

function isFinishedSweep({ cmd, ok, days }: JournalEntry): boolean {
  return cmd === "sweep" && ok && days.length > 1;
}

function deploymentOf({ argv }: JournalEntry): string {
  return argv[0]?.split("/").at(-1) ?? "";
}

function sweepOf(entry: JournalEntry): Sweep {
  const days = entry.days.map(({ servers, served, rules }): SweptDay => ({
    workers: servers,
    served,
    brokenRules: Object.keys(rules),
  })).sort((a, b) => a.workers - b.workers);
  return {
    id: entry.id,
    deployment: deploymentOf(entry),
    days,
    quantities: entry.digest.split("\n").flatMap((line) =>
      quantityOf(line, days) ?? []
    ),
  };
}

function quantityOf(
  line: string,
  days: readonly SweptDay[],
): SweptQuantity | undefined {
  const name = ROW.exec(line)?.[1];
  const largest = [...line.matchAll(PAIR)].map((match) => Number(match[2]));
  if (name === undefined || largest.length !== days.length) {
    return undefined;
  }
  const samples = days.map(({ workers }, index) => ({
    size: workers,
    value: largest[index] ?? NaN,
  }));
  return { name, samples };
}
