/**
 * `quetzalcove services`: lists services with their capacity, load and budget.
 *
 * @module
 */
import { Services } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { compareNames, formatTable } from "../format.ts";

export const SERVICES: Command = {
  name: "services",
  parameters: "",
  summary: "List services with targets, load and budget left",
  details: `
"budget left" is the remaining share of the availability budget in its window: 100% means
that nothing is spent, 0% or less that all of it is.`,
  options: [],
  examples: ["services", "services --json"],
  run,
};

const COLUMNS = [
  { heading: "SERVICE" },
  { heading: "POOL" },
  { heading: "TARGETS", numeric: true },
  { heading: "SLOTS", numeric: true },
  { heading: "IN FLIGHT", numeric: true },
  { heading: "QUEUED", numeric: true },
  { heading: "BUDGET LEFT", numeric: true },
];

const PERCENT = 100;

async function run(invocation: Invocation): Promise<CommandResult> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: "/v1/services",
    answer: Services,
  });
  return found.map((data) => {
    const rows = data.services
      .toSorted((a, b) => compareNames(a.name, b.name))
      .map((service) => [
        service.name,
        service.pool,
        service.targetsServing,
        service.slots,
        service.inFlight,
        service.queued,
        describeBudget(service.budgetLeft),
      ]);
    return { text: formatTable(COLUMNS, rows), data };
  });
}

function describeBudget(left: number | undefined): string {
  return left === undefined ? "-" : `${(left * PERCENT).toFixed(1)}%`;
}
