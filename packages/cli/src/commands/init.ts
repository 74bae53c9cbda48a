/**
 * `quetzalcove init`: starts a new cluster.
 *
 * @module
 */
import { z } from "zod";
import type { Command, CommandResult, Invocation } from "../command.ts";

export const INIT: Command = {
  name: "init",
  parameters: "",
  summary: "Start a new cluster; each cluster is started once",
  details: `
Run it once, after a majority of the replicas have started; any daemon forwards it to the
replica whose name sorts first. A cluster that was started refuses a second init. A daemon
with an empty data folder never starts a cluster by itself: it asks to join. A single
process without peers needs no init.`,
  options: [],
  examples: ["init --admin 127.10.1.1:8081"],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const started = await connected.val.call({
    method: "POST",
    path: "/v1/init",
    body: {},
    answer: z.unknown(),
    whenUncertain: "quetzalcove status answers once the cluster is started",
  });
  return started.map((data) => ({
    text: "The cluster is started\n",
    data: data ?? {},
  }));
}
