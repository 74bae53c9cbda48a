/**
 * Metrics of customers with a bounded number of labels.
 *
 * @module
 */
import type { Metrics, Sample } from "../observe/metrics.ts";
import type { CustomerStatus } from "./customer_status.ts";

/** Customers with a label of their own, those with the largest weights; the others share one. */
export const MAX_CUSTOMER_LABELS = 20;

/** Label of the other customers, also of one that has this name. */
const OTHER = "other";

const MS_PER_S = 1_000;

/** Registers the metrics; `read` gives the customers by weight, the largest first, none on a node that does not lead. */
export function registerCustomerMetrics(
  metrics: Metrics,
  read: () => readonly CustomerStatus[],
): void {
  metrics.collect(() => customerSamples(read()));
}

/** Samples of all customers, ordered by metric. */
export function customerSamples(
  customers: readonly CustomerStatus[],
): Sample[] {
  const named = customers.filter(({ name }) => name !== OTHER)
    .slice(0, MAX_CUSTOMER_LABELS);
  const others = customers.filter((customer) => !named.includes(customer));
  const groups = named.map((
    customer,
  ): [label: string, members: readonly CustomerStatus[]] => [
    customer.name,
    [customer],
  ]);
  if (others.length > 0) {
    groups.push([OTHER, others]);
  }
  const gauge = (
    name: string,
    valueOf: (members: readonly CustomerStatus[]) => number,
  ): Sample[] =>
    groups.map(([customer, members]) => ({
      name: `quetzalcove_customer_${name}`,
      type: "gauge",
      labels: { customer },
      value: valueOf(members),
    }));
  return [
    ...gauge("running_cores", sumOf(({ runningCores }) => runningCores)),
    ...gauge("cap_cores", sumOf(({ capCores }) => capCores ?? 0)),
    ...gauge("cap_share", maxOf(({ capShare }) => capShare)),
    ...gauge("waiting_steps", sumOf(({ waitingSteps }) => waitingSteps)),
    ...gauge(
      "oldest_wait_seconds",
      maxOf(({ oldestWaitMs }) => oldestWaitMs / MS_PER_S),
    ),
    ...groups.flatMap(([customer, members]) =>
      submissionSamples(customer, members)
    ),
  ];
}

/** Counts by outcome: accepted, or the reason of the refusal. */
function submissionSamples(
  customer: string,
  members: readonly CustomerStatus[],
): Sample[] {
  const counts = new Map([
    ["accepted", sumOf(({ accepted }) => accepted)(members)],
  ]);
  for (const { refused } of members) {
    for (const [reason, count] of Object.entries(refused)) {
      const outcome = `refused_${reason}`;
      counts.set(outcome, (counts.get(outcome) ?? 0) + count);
    }
  }
  return [...counts].map(([outcome, value]) => ({
    name: "quetzalcove_customer_submissions_total",
    type: "counter",
    labels: { customer, outcome },
    value,
  }));
}

type Aggregate = (members: readonly CustomerStatus[]) => number;

function sumOf(value: (customer: CustomerStatus) => number): Aggregate {
  return (members) => members.reduce((sum, member) => sum + value(member), 0);
}

function maxOf(value: (customer: CustomerStatus) => number): Aggregate {
  return (members) => Math.max(...members.map(value));
}
