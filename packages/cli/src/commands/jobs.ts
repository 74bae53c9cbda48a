/**
 * `quetzalcove jobs`: jobs that the system places on VMs.
 *
 * @module
 */
import { Err, JobAnswers, JobViews, parseJson } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { usageFailure, withReason } from "../failure.ts";
import { formatTable } from "../format.ts";

export const JOBS: Command = {
  name: "jobs",
  parameters: "[action] [argument]",
  usage: "[submit <file> | cancel <id>]",
  summary: "List jobs; submit or cancel them",
  details: `
Without an action it lists jobs. "submit" takes a JSON file with one job or a list of
jobs. The id of a job stands in its file, so a job that is submitted twice is one job. A
job that can never run is refused with the reason.`,
  options: [
    { flags: "--team <team>", summary: "Only jobs of this team" },
    { flags: "--state <state>", summary: "Only jobs in this state" },
  ],
  examples: [
    "jobs --state waiting",
    "jobs submit nightly.json",
    "jobs cancel a7",
  ],
  run,
};

const COLUMNS = [
  { heading: "JOB" },
  { heading: "TEAM" },
  { heading: "POOL" },
  { heading: "CLASS" },
  { heading: "STATE" },
  { heading: "VM" },
  { heading: "REASON" },
];

async function run(invocation: Invocation): Promise<CommandResult> {
  const [action, argument] = invocation.args;
  if (action === undefined) {
    return await list(invocation);
  }
  if (action !== "submit" && action !== "cancel") {
    return Err(usageFailure(`The action is submit or cancel, not "${action}"`));
  }
  if (argument === undefined) {
    const need = action === "submit" ? "a file" : "an id";
    return Err(usageFailure(`jobs ${action} needs ${need}`));
  }
  return action === "submit"
    ? await submit(invocation, argument)
    : await cancel(invocation, argument);
}

async function list(invocation: Invocation): Promise<CommandResult> {
  const { options } = invocation;
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: "/v1/jobs",
    answer: JobViews,
  });
  return found.map((data) => {
    const team = options.text("team");
    const state = options.text("state");
    const jobs = data.jobs.filter((job) =>
      (team === undefined || job.team === team) &&
      (state === undefined || job.state === state)
    );
    const rows = jobs.map((job) => [
      job.id,
      job.team,
      job.pool ?? "-",
      job.priority ?? "-",
      job.state,
      job.vm ?? "-",
      job.reason ?? "",
    ]);
    const text = rows.length === 0 ? "No jobs\n" : formatTable(COLUMNS, rows);
    return { text, data: { jobs } };
  });
}

async function submit(
  invocation: Invocation,
  path: string,
): Promise<CommandResult> {
  const text = await invocation.runtime.readText(path);
  const read = withReason("input", text.andThen((t) => parseJson(t, path)));
  if (read.err) {
    return read;
  }
  const jobs = Array.isArray(read.val) ? read.val : [read.val];
  return await send(invocation, { path: "/v1/jobs", body: { jobs } });
}

async function cancel(
  invocation: Invocation,
  id: string,
): Promise<CommandResult> {
  const body = { jobs: [id] };
  return await send(invocation, { path: "/v1/jobs/cancel", body });
}

/** Submissions and cancellations carry the ids of their jobs, so both are idempotent. */
async function send(
  invocation: Invocation,
  order: { path: string; body: unknown },
): Promise<CommandResult> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const answered = await connected.val.call({
    method: "POST",
    ...order,
    answer: JobAnswers,
    idempotent: true,
    whenUncertain: "Run the same command again; a job is taken once",
  });
  return answered.map((data) => {
    const lines = data.jobs.map(({ id, state, reason }) =>
      `Job ${id}: ${state}${reason === undefined ? "" : ` (${reason})`}\n`
    );
    return { text: lines.join(""), data };
  });
}
