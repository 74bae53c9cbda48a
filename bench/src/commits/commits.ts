/**
 * Commits of the replicated log: rate and latency by number of voters, the gain of group commit, and how fast a
 * replica comes back that is far behind.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import {
  atLeast,
  atMost,
  type Outcome,
  type Run,
  type Scenario,
  type Table,
} from "../scenario.ts";
import { type Arrangement, Cluster } from "./cluster.ts";

const VOTERS = [1, 3, 5];
const CLIENTS = [1, 64];
const ONE_WAY_MS = 1.5;
const VALUE = "x".repeat(200);
const KEYS = 1_000;
const MEASURED_MS = 5_000;
const QUICK_MS = 300;
const ENTRIES_BEHIND = 10_000;
const QUICK_ENTRIES_BEHIND = 500;
const PROPOSED_TOGETHER = 250;
const MICROSECONDS = 1_000;

/** A change must be in force everywhere within this time, so a replica must be back within it. */
const IN_FORCE_MS = 8_000;

interface Rate {
  voters: number;
  clients: number;
  groupCommit: boolean;
  perSecond: number;
  p50Ms: number;
  p99Ms: number;
  commitsPerSync: number;
}

interface Return {
  way: "replay" | "snapshot";
  openMs: number;
  caughtUpMs: number;
  messages: number;
  kilobytes: number;
}

export const commits: Scenario = {
  name: "commits",
  description:
    "Commits per second and latency for 1, 3 and 5 voters; return of a replica that is far behind",
  run: benchCommits,
};

/** Runs the scenario. */
export async function benchCommits(run: Run): Promise<Outcome> {
  const rates: Rate[] = [];
  for (const voters of VOTERS) {
    for (const clients of CLIENTS) {
      rates.push(await measureRate(run, { voters, clients, grouped: true }));
    }
  }
  rates.push(
    await measureRate(run, { voters: 3, clients: 64, grouped: false }),
  );
  const returns = [
    await measureReturn(run, "replay"),
    await measureReturn(run, "snapshot"),
  ];
  return {
    tables: [rateTable(rates), returnTable(run, returns)],
    checks: [
      atLeast("gain of group commit, 3 voters, 64 clients", gain(rates), 1),
      ...returns.map(({ way, openMs, caughtUpMs }) =>
        atMost(`return by ${way}, ms`, openMs + caughtUpMs, IN_FORCE_MS)
      ),
    ],
  };
}

function arrange(
  { seed, clock }: Run,
  settings: Pick<Arrangement, "voters" | "groupCommit">,
): Arrangement {
  const maxLogEntries = 4 * ENTRIES_BEHIND;
  return { seed, clock, oneWayMs: ONE_WAY_MS, maxLogEntries, ...settings };
}

/** Measures clients that each propose again as soon as their command is committed. */
async function measureRate(
  run: Run,
  { voters, clients, grouped }: {
    voters: number;
    clients: number;
    grouped: boolean;
  },
): Promise<Rate> {
  const settings = { voters, groupCommit: grouped };
  const cluster = await Cluster.start(arrange(run, settings));
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  const syncsBefore = cluster.leader.syncs;
  const startedAt = run.clock();
  const endsAt = startedAt + (run.quick ? QUICK_MS : MEASURED_MS);
  await Promise.all(
    Array.from(
      { length: clients },
      (_, client) => propose(cluster, { run, client, endsAt, latencies }),
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
    p50Ms: latencies.getValueAtPercentile(50) / MICROSECONDS,
    p99Ms: latencies.getValueAtPercentile(99) / MICROSECONDS,
    commitsPerSync: latencies.totalCount / syncs,
  };
}

async function propose(
  cluster: Cluster,
  { run, client, endsAt, latencies }: {
    run: Run;
    client: number;
    endsAt: number;
    latencies: Histogram;
  },
): Promise<void> {
  let now = run.clock();
  for (let count = 0; now < endsAt; count++) {
    const key = `${client}-${count % KEYS}`;
    await cluster.leader.propose(key, VALUE);
    const end = run.clock();
    latencies.recordValue(Math.round((end - now) * MICROSECONDS));
    now = end;
  }
}

/** Measures how a replica returns that was down while many entries were committed. */
async function measureReturn(run: Run, way: Return["way"]): Promise<Return> {
  const settings = { voters: 3, groupCommit: true };
  const cluster = await Cluster.start(arrange(run, settings));
  await cluster.stopHost(3);
  await commitMany(cluster, run.quick ? QUICK_ENTRIES_BEHIND : ENTRIES_BEHIND);
  if (way === "snapshot") {
    await cluster.leader.compact();
  }
  const { network, leader } = cluster;
  const before = { length: network.sentLength, messages: network.sentMessages };
  const startedAt = run.clock();
  const host = await cluster.startHost(3);
  const openedAt = run.clock();
  const { commit } = leader.raft.status;
  await host.until(() => host.raft.status.applied >= commit);
  const result = {
    way,
    openMs: openedAt - startedAt,
    caughtUpMs: run.clock() - openedAt,
    messages: network.sentMessages - before.messages,
    kilobytes: (network.sentLength - before.length) / 1_000,
  };
  await cluster.stop();
  return result;
}

async function commitMany(cluster: Cluster, count: number): Promise<void> {
  for (let done = 0; done < count; done += PROPOSED_TOGETHER) {
    await Promise.all(
      Array.from(
        { length: PROPOSED_TOGETHER },
        (_, i) => cluster.leader.propose(`k${(done + i) % KEYS}`, VALUE),
      ),
    );
  }
}

function gain(rates: readonly Rate[]): number {
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

function returnTable(run: Run, returns: readonly Return[]): Table {
  const entries = run.quick ? QUICK_ENTRIES_BEHIND : ENTRIES_BEHIND;
  return {
    name: `Return of a replica that is ${entries} entries behind, 3 voters`,
    columns: ["way", "open ms", "caught up ms", "messages", "kB"],
    rows: returns.map((row) => [
      row.way,
      row.openMs,
      row.caughtUpMs,
      row.messages,
      Math.round(row.kilobytes),
    ]),
  };
}
