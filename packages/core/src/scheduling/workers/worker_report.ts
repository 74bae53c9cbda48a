/**
 * Reports of workers about themselves. Most repeat what is stored already.
 *
 * @module
 */
import { isSameCapacity } from "../model/batch_job.ts";
import type { Worker } from "../model/command.ts";
import { isLaterLife } from "./worker_life.ts";

/** Whether a report is of an earlier life than the stored one, so that it was delayed. */
export function isOutdatedReport(
  report: Pick<Worker, "bornAtMs">,
  known: Pick<Worker, "bornAtMs"> | undefined,
): boolean {
  return isLaterLife(report.bornAtMs, known?.bornAtMs);
}

/**
 * Whether a report changes the stored worker. `isLatest` tells whether no later report is known, since one that arrives
 * out of order must not undo a change of capacity. A draining worker stays draining.
 */
export function isReportNews(
  report: Worker,
  known: Worker | undefined,
  isLatest = true,
): boolean {
  return !isOutdatedReport(report, known) &&
    (known === undefined ||
      isLaterLife(known.bornAtMs, report.bornAtMs) ||
      (known.bornAtMs === undefined && report.bornAtMs !== undefined) ||
      (report.draining && !known.draining) ||
      (isLatest && !isSameCapacity(report.capacity, known.capacity)));
}
