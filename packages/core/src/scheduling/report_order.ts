/**
 * Order of the reports of workers, which may arrive late: a capacity that shrank must not be replaced by an older one.
 *
 * @module
 */

/** Maximum number of workers kept; those that reported longest ago are evicted first. */
const MAX_WORKERS = 8_192;

export class ReportOrder {
  /** Highest number of a report, by worker. */
  readonly #latest = new Map<string, number>();

  /** Records a report; returns whether no later one of its worker arrived before. `known` is a number seen elsewhere. */
  isLatest(worker: string, reportNumber = 0, known = 0): boolean {
    const latest = Math.max(known, this.#latest.get(worker) ?? 0);
    this.#latest.delete(worker);
    this.#latest.set(worker, Math.max(latest, reportNumber));
    const [oldest] = this.#latest.keys();
    if (this.#latest.size > MAX_WORKERS && oldest !== undefined) {
      this.#latest.delete(oldest);
    }
    return reportNumber >= latest;
  }
}
