/**
 * `quetzalcove jobs`: lists, submits and cancels jobs.
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
jobs. The file contains the id of each job, so submitting it twice creates no second job.
A job that can never run is refused with the reason.`,
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

/** Sends a submission or a cancellation. Both are idempotent, because they carry the ids of the jobs. */
async function send(
  invocation: Invocation,
  call: { path: string; body: unknown },
): Promise<CommandResult> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const answered = await connected.val.call({
    method: "POST",
    ...call,
    answer: JobAnswers,
    idempotent: true,
    whenUncertain: "Run the same command again; each job id is accepted once",
  });
  return answered.map((data) => {
    const lines = data.jobs.map(({ id, state, reason }) =>
      `Job ${id}: ${state}${reason === undefined ? "" : ` (${reason})`}\n`
    );
    return { text: lines.join(""), data };
  });
}
