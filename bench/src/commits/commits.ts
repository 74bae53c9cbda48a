/**
 * Commits of the replicated log: rate and latency by number of voters, the gain of group commit, and the catch-up time
 * of a replica that is far behind.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import {
  atLeast,
  atMost,
  type Outcome,
  type RunOptions,
  type Scenario,
  type Table,
} from "../scenario.ts";
import { Cluster, type ClusterOptions } from "./cluster.ts";

const VOTER_COUNTS = [1, 3, 5];
const CLIENT_COUNTS = [1, 64];
const ONE_WAY_MS = 1.5;
const VALUE = "x".repeat(200);
const KEY_COUNT = 1_000;
const MEASUREMENT_MS = 5_000;
const QUICK_MEASUREMENT_MS = 300;
const ENTRIES_BEHIND = 10_000;
const QUICK_ENTRIES_BEHIND = 500;
const PROPOSAL_BATCH = 250;
const US_PER_MS = 1_000;

/** A change must be in force everywhere within this time, so a replica must have caught up within it. */
const MAX_CATCH_UP_MS = 8_000;

interface Rate {
  voters: number;
  clients: number;
  groupCommit: boolean;
  perSecond: number;
  p50Ms: number;
  p99Ms: number;
  commitsPerSync: number;
}

interface CatchUp {
  method: "replay" | "snapshot";
  openMs: number;
  caughtUpMs: number;
  messages: number;
  kilobytes: number;
}

export const commits: Scenario = {
  name: "commits",
  description:
    "Commits per second and latency for 1, 3 and 5 voters; catch-up of a replica that is far behind",
  run: benchCommits,
};

/** Runs the scenario. */
export async function benchCommits(run: RunOptions): Promise<Outcome> {
  const rates: Rate[] = [];
  for (const voters of VOTER_COUNTS) {
    for (const clients of CLIENT_COUNTS) {
      rates.push(await measureRate(run, { voters, clients, grouped: true }));
    }
  }
  rates.push(
    await measureRate(run, { voters: 3, clients: 64, grouped: false }),
  );
  const catchUps = [
    await measureCatchUp(run, "replay"),
    await measureCatchUp(run, "snapshot"),
  ];
  return {
    tables: [rateTable(rates), catchUpTable(run, catchUps)],
    checks: [
      atLeast(
        "gain of group commit, 3 voters, 64 clients",
        groupCommitGain(rates),
        1,
      ),
      ...catchUps.map(({ method, openMs, caughtUpMs }) =>
        atMost(`return by ${method}, ms`, openMs + caughtUpMs, MAX_CATCH_UP_MS)
      ),
    ],
  };
}

function clusterOptions(
  { seed, clock }: RunOptions,
  settings: Pick<ClusterOptions, "voters" | "groupCommit">,
): ClusterOptions {
  const maxLogEntries = 4 * ENTRIES_BEHIND;
  return { seed, clock, oneWayMs: ONE_WAY_MS, maxLogEntries, ...settings };
}

/** Measures closed-loop clients: each proposes its next command when the previous one is committed. */
async function measureRate(
  run: RunOptions,
  { voters, clients, grouped }: {
    voters: number;
    clients: number;
    grouped: boolean;
  },
): Promise<Rate> {
  const settings = { voters, groupCommit: grouped };
  const cluster = await Cluster.start(clusterOptions(run, settings));
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  const syncsBefore = cluster.leader.syncs;
  const startedAt = run.clock();
  const endsAt = startedAt +
    (run.quick ? QUICK_MEASUREMENT_MS : MEASUREMENT_MS);
  await Promise.all(
    Array.from(
      { length: clients },
      (_, client) => proposeUntil(cluster, { run, client, endsAt, latencies }),
    ),
  );
  const seconds = (run.clock() - startedAt) / 1_000;
  const syncs = cluster.leader.syncs - syncsBefore;
  await cluster.stop();
  return {
    voters,
    clients,
    groupCommit: grouped,
    perSecond: latencies.totalCount / seconds,
    p50Ms: latencies.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: latencies.getValueAtPercentile(99) / US_PER_MS,
    commitsPerSync: latencies.totalCount / syncs,
  };
}

async function proposeUntil(
  cluster: Cluster,
  { run, client, endsAt, latencies }: {
    run: RunOptions;
    client: number;
    endsAt: number;
    latencies: Histogram;
  },
): Promise<void> {
  let now = run.clock();
  for (let count = 0; now < endsAt; count++) {
    const key = `${client}-${count % KEY_COUNT}`;
    await cluster.leader.propose(key, VALUE);
    const end = run.clock();
    latencies.recordValue(Math.round((end - now) * US_PER_MS));
    now = end;
  }
}

/** Measures how a replica catches up that was down while many entries were committed. */
async function measureCatchUp(
  run: RunOptions,
  method: CatchUp["method"],
): Promise<CatchUp> {
  const settings = { voters: 3, groupCommit: true };
  const cluster = await Cluster.start(clusterOptions(run, settings));
  await cluster.stopHost(3);
  await commitMany(cluster, run.quick ? QUICK_ENTRIES_BEHIND : ENTRIES_BEHIND);
  if (method === "snapshot") {
    await cluster.leader.compact();
  }
  const { network, leader } = cluster;
  const before = { length: network.sentLength, messages: network.sentMessages };
  const startedAt = run.clock();
  const host = await cluster.startHost(3);
  const openedAt = run.clock();
  const { commit } = leader.raft.status;
  await host.waitFor(() => host.raft.status.applied >= commit);
  const result = {
    method,
    openMs: openedAt - startedAt,
    caughtUpMs: run.clock() - openedAt,
    messages: network.sentMessages - before.messages,
    kilobytes: (network.sentLength - before.length) / 1_000,
  };
  await cluster.stop();
  return result;
}

async function commitMany(cluster: Cluster, count: number): Promise<void> {
  for (let done = 0; done < count; done += PROPOSAL_BATCH) {
    await Promise.all(
      Array.from(
        { length: PROPOSAL_BATCH },
        (_, i) => cluster.leader.propose(`k${(done + i) % KEY_COUNT}`, VALUE),
      ),
    );
  }
}

function groupCommitGain(rates: readonly Rate[]): number {
  const rateOf = (groupCommit: boolean): number =>
    rates.find((rate) =>
      rate.voters === 3 && rate.clients === 64 &&
      rate.groupCommit === groupCommit
    )?.perSecond ?? Number.NaN;
  return rateOf(true) / rateOf(false);
}

function rateTable(rates: readonly Rate[]): Table {
  return {
    name: `Commits, ${ONE_WAY_MS} ms one way, synced files`,
    columns: [
      "voters",
      "clients",
      "group commit",
      "commits/s",
      "p50 ms",
      "p99 ms",
      "commits/sync",
    ],
    rows: rates.map((rate) => [
      rate.voters,
      rate.clients,
      rate.groupCommit ? "on" : "off",
      Math.round(rate.perSecond),
      rate.p50Ms,
      rate.p99Ms,
      rate.commitsPerSync,
    ]),
  };
}

function catchUpTable(run: RunOptions, catchUps: readonly CatchUp[]): Table {
  const entries = run.quick ? QUICK_ENTRIES_BEHIND : ENTRIES_BEHIND;
  return {
    name: `Return of a replica that is ${entries} entries behind, 3 voters`,
    columns: ["way", "open ms", "caught up ms", "messages", "kB"],
    rows: catchUps.map((row) => [
      row.method,
      row.openMs,
      row.caughtUpMs,
      row.messages,
      Math.round(row.kilobytes),
    ]),
  };
}
