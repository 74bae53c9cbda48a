/**
 * `quetzalcove init`: the one first start of a cluster.
 *
 * @module
 */
import { Err } from "@quetzalcove/core";
import { z } from "zod";
import type { Command, Invocation, Outcome } from "../command.ts";
import { usage } from "../failure.ts";

export const INIT: Command = {
  name: "init",
  parameters: "",
  summary: "Start a new cluster, once in its life",
  details: `
Run it once, at one daemon that has a data folder, after the daemons have started. A
cluster that was started refuses a second init. A daemon with an empty folder never
starts a cluster by itself; a lost disk is replaced by "quetzalcove replicas", not by
init.`,
  options: [],
  examples: ["init --admin 127.10.1.1:8081"],
  run,
};

async function run(invocation: Invocation): Promise<Outcome> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const client = connected.val;
  // A second address could start a second cluster after the first answer was lost.
  if (client.addresses.length > 1) {
    return Err(usage("init needs exactly one admin address", "Give --admin"));
  }
  const started = await client.call({
    method: "POST",
    path: "/v1/init",
    body: {},
    answer: z.unknown(),
    whenUncertain: "quetzalcove status at the same address shows it",
  });
  return started.map((data) => ({
    text: `The cluster is started at ${client.addresses[0]}\n`,
    data: data ?? {},
  }));
}
