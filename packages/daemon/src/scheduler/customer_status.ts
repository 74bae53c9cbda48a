/**
 * Status of the customers that share the pools, for operators.
 *
 * @module
 */
import {
  type Customer,
  type JobStore,
  RESOURCES,
  type Resources,
} from "@quetzalcove/core/scheduling";
import { z } from "zod";

const Count = z.number().int();

export const CustomerStatus = z.object({
  name: z.string(),
  /** Jobs per second that it may count on. */
  weight: z.number(),
  runningCores: Count,
  /** Undefined if its cores are not limited. */
  capCores: Count.optional(),
  /** Largest share of its cap that its runs reserve, over all limited resources; 0 if none is limited. */
  capShare: z.number(),
  waitingSteps: Count,
  /** Time since the oldest job with a waiting step was accepted. */
  oldestWaitMs: Count,
  /** Submissions accepted in this leadership term. */
  accepted: Count,
  /** Submissions refused in this leadership term, by reason; without those that entries refused themselves. */
  refused: z.record(z.string(), Count),
});
export type CustomerStatus = z.infer<typeof CustomerStatus>;

/** Submissions of one customer. */
export type SubmissionCounts = Pick<CustomerStatus, "accepted" | "refused">;

const MILLICORES_PER_CORE = 1_000;

/** Status of each customer of the plan, the largest weight first. `wallNow` is the wall-clock time in milliseconds. */
export function customerStatuses(
  jobStore: JobStore,
  counts: ReadonlyMap<string, SubmissionCounts>,
  wallNow: number,
): CustomerStatus[] {
  const { plan, waiting, customerUsage } = jobStore;
  const waits = new Map<string, { steps: number; since: number }>();
  if (plan.customers.length > 0) {
    for (const { job } of waiting.values()) {
      const wait = waits.get(job.customer ?? "");
      waits.set(job.customer ?? "", {
        steps: (wait?.steps ?? 0) + 1,
        since: Math.min(wait?.since ?? wallNow, job.acceptedAtMs),
      });
    }
  }
  return plan.customers
    .map(({ name, weight, cap }): CustomerStatus => {
      const usage = customerUsage.of(name);
      const wait = waits.get(name);
      return {
        name,
        weight,
        runningCores: coresOf(usage),
        ...cap.cpuMilli > 0 && { capCores: coresOf(cap) },
        capShare: shareOf(cap, usage),
        waitingSteps: wait?.steps ?? 0,
        oldestWaitMs: Math.round(wallNow - (wait?.since ?? wallNow)),
        accepted: counts.get(name)?.accepted ?? 0,
        refused: { ...counts.get(name)?.refused },
      };
    })
    .sort((a, b) => b.weight - a.weight);
}

function coresOf({ cpuMilli }: Readonly<Resources>): number {
  return Math.round(cpuMilli / MILLICORES_PER_CORE);
}

function shareOf(cap: Customer["cap"], usage: Readonly<Resources>): number {
  const shares = RESOURCES.map((resource) =>
    cap[resource] === 0 ? 0 : usage[resource] / cap[resource]
  );
  return Math.round(Math.max(...shares) * 100) / 100;
}
