/**
 * A Raft group in one process, with real data folders and delayed links.
 *
 * @module
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  bootstrapState,
  emptyStoredState,
  type Member,
} from "@quetzalcove/core";
import { formatFolder } from "@quetzalcove/daemon";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Host, type RaftGroup } from "./host.ts";
import { DelayedNetwork } from "./network.ts";

/** Options of a cluster. */
export interface ClusterOptions {
  voters: number;
  oneWayMs: number;
  groupCommit: boolean;
  maxLogEntries: number;
  seed: number;
  clock: () => number;
}

export class Cluster {
  readonly network: DelayedNetwork;
  readonly #hosts = new Map<string, Host>();
  readonly #group: RaftGroup;
  readonly #root: string;

  constructor(root: string, options: ClusterOptions) {
    const { clock, oneWayMs, groupCommit, maxLogEntries, seed } = options;
    const generator = xoroshiro128plus(seed);
    this.#root = root;
    this.network = new DelayedNetwork(oneWayMs, clock);
    this.#group = {
      clock,
      groupCommit,
      maxLogEntries,
      random: () => uniformFloat64(generator),
      send: (to, text) =>
        this.network.send(
          text,
          (delayed) => this.#hosts.get(to)?.receive(delayed),
        ),
    };
  }

  /** Starts one voter and adds the others one by one. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const root = await mkdtemp(join(tmpdir(), "quetzalcove-bench-"));
    const cluster = new Cluster(root, options);
    const numbers = Array.from({ length: options.voters }, (_, i) => i + 1);
    for (const number of numbers) {
      await cluster.#add(createMember(number));
    }
    return cluster;
  }

  /** The first host, which stays leader because only the others are stopped. */
  get leader(): Host {
    return this.host(1);
  }

  host(number: number): Host {
    return this.#hosts.get(createMember(number).replica)!;
  }

  /** Stops one host; messages to it are lost. */
  async stopHost(number: number): Promise<void> {
    const host = this.host(number);
    this.#hosts.delete(createMember(number).replica);
    await host.stop();
  }

  async startHost(number: number): Promise<Host> {
    const { replica, entry } = createMember(number);
    const host = await Host.open(this.#group, join(this.#root, entry));
    this.#hosts.set(replica, host);
    return host;
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#hosts.values()].map((host) => host.stop()));
    await rm(this.#root, { recursive: true });
  }

  async #add(member: Omit<Member, "standing">): Promise<void> {
    const { replica, entry } = member;
    const isFirst = this.#hosts.size === 0;
    const stored = isFirst ? bootstrapState(member) : emptyStoredState();
    const folder = join(this.#root, entry);
    const format = { cluster: "bench", replica, stored };
    (await formatFolder(folder, format)).unwrap();
    const host = await Host.open(this.#group, folder);
    this.#hosts.set(replica, host);
    const { leader } = this;
    if (isFirst) {
      await leader.waitFor(() => leader.raft.status.role === "leader");
      return;
    }
    await this.#change({ kind: "add", member });
    await this.#change({ kind: "promote", replica });
  }

  /** Proposes a membership change until the leader accepts it, and waits for its commit. */
  async #change(
    change: Parameters<Host["raft"]["changeMembership"]>[0],
  ): Promise<void> {
    const { leader } = this;
    let index = Number.POSITIVE_INFINITY;
    await leader.waitFor(() => {
      const { clock } = this.#group;
      const result = leader.raft.changeMembership(change, clock());
      index = result.ok ? result.val.first : index;
      return result.ok;
    });
    await leader.waitFor(() => leader.raft.status.applied >= index);
  }
}

function createMember(number: number): Omit<Member, "standing"> {
  return {
    replica: `e${number}#0001`,
    entry: `e${number}`,
    zone: "z1",
    address: "127.0.0.1:7000",
  };
}
