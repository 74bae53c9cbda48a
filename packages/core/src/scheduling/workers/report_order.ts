/**
 * Order of the reports of workers, which may arrive late: a capacity that shrank must not be replaced by an older one.
 *
 * @module
 */
import { evictOldest } from "../../eviction.ts";
import type { Worker } from "../model/command.ts";

/** Maximum number of workers kept; those that reported longest ago are evicted first. */
const MAX_WORKERS = 8_192;

/** The latest report of a worker. Each life numbers its reports from 1. */
interface LatestReport {
  bornAtMs: number | undefined;
  number: number;
}

type Report = Pick<Worker, "id" | "bornAtMs" | "reportNumber">;

export class ReportOrder {
  readonly #latest = new Map<string, LatestReport>();

  /**
   * Records a report; returns whether no later one of this life of the worker arrived before. `known` is the worker as
   * stored.
   */
  isLatest(
    { id, bornAtMs, reportNumber = 0 }: Report,
    known?: Report,
  ): boolean {
    const stored = known?.bornAtMs === bornAtMs ? known?.reportNumber ?? 0 : 0;
    const seen = this.#latest.get(id);
    const latest = Math.max(
      stored,
      seen?.bornAtMs === bornAtMs ? seen?.number ?? 0 : 0,
    );
    this.#latest.delete(id);
    this.#latest.set(id, { bornAtMs, number: Math.max(latest, reportNumber) });
    evictOldest(this.#latest, MAX_WORKERS);
    return reportNumber >= latest;
  }
}
