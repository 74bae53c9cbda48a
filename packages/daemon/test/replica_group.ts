/**
 * A group of replicas in one process, with their membership controllers, on a network that can be cut.
 *
 * @module
 */
import {
  emptyStoredState,
  Err,
  fault,
  Ok,
  type RaftMessage,
  type RaftWrite,
  type Result,
  type StoredState,
  textOf,
} from "@quetzalcove/core";
import { checkSchedulerSettings } from "@quetzalcove/core/scheduling";
import { DynamicMembershipController } from "../src/consensus/dynamic_membership_controller.ts";
import { RaftDriver } from "../src/consensus/raft_driver.ts";
import { LeaderClient } from "../src/entry/leader_client.ts";
import type { Handlers } from "../src/link/connection.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { Log } from "../src/observe/log.ts";
import type { Storage } from "../src/storage/storage.ts";
import { wait } from "../src/waiting.ts";
import { QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

/** The rules of a node whose settings leave them out. */
const { raft } = checkSchedulerSettings({
  cluster: "c1",
  node: "n1",
  host: "127.0.0.1",
  zone: "zone-a",
  listen: { link: "127.0.0.1:7060", metrics: "127.0.0.1:9464" },
  seeds: ["127.0.0.1:8600"],
}, "settings").unwrap();
/** Entries of the log after which a replica that is behind gets a snapshot. */
export const MAX_LOG_ENTRIES = raft.snapshotEveryEntries;

const RULES = { ...raft, learnerLostAfterMs: 30_000 };

type Driver = RaftDriver<string[], string, number>;

interface Node {
  replica: string;
  stored: StoredState;
  driver: Driver;
  handlers: Handlers;
  controller: DynamicMembershipController;
  known: readonly string[];
}

/** A member as the leader counts it, for example `a#0001 follower`. */
export type MemberLine = string;

export class ReplicaGroup {
  readonly #nodes = new Map<string, Node>();
  readonly #seeds: readonly string[];
  /** Pairs of hosts whose messages are lost, in both directions. */
  readonly #cut = new Set<string>();
  /** Events of all membership controllers. */
  readonly events: string[] = [];

  /** Starts the initial voters, one for each seed. */
  static async of(...seeds: string[]): Promise<ReplicaGroup> {
    const group = new ReplicaGroup(seeds);
    const members = seeds.map((entry) => ({
      ...memberNamed(entry, "founder"),
      standing: "voter" as const,
    }));
    for (const seed of seeds) {
      await group.#start(seed, `${seed}#founder`, {
        hardState: { term: 1 },
        entries: [{
          kind: "membership",
          index: 1,
          term: 1,
          membership: { members },
        }],
      });
    }
    return group;
  }

  private constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  /** Starts a replica with an empty disk; `seeds` are the hosts that it knows. */
  add(host: string, life = "0001", seeds = this.#seeds): Promise<void> {
    return this.#start(host, `${host}#${life}`, emptyStoredState(), seeds);
  }

  /** Starts a stopped replica with what it stored. */
  restart(host: string, seeds = this.#seeds): Promise<void> {
    const { replica, stored } = this.#node(host);
    return this.#start(host, replica, structuredClone(stored), seeds);
  }

  /** Stops a replica without notice, as a loss of power does. */
  async kill(host: string): Promise<void> {
    const { controller, driver } = this.#node(host);
    this.cut(host);
    // A call of the controller may wait for its deadline.
    void controller.stop();
    await driver.stop();
  }

  /** Stops a replica as planned. */
  async leave(host: string): Promise<void> {
    await this.#node(host).controller.leave();
    await this.kill(host);
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#nodes.keys()].map((host) => this.kill(host)));
  }

  cut(host: string): void {
    this.#cut.add(host);
  }

  heal(host: string): void {
    this.#cut.delete(host);
  }

  /** Host of the leader that a majority follows; undefined if there is none. */
  get leader(): string | undefined {
    return this.#leadingNode()?.[0];
  }

  /** The members as the leader counts them. */
  get members(): MemberLine[] {
    const replicas = this.#leadingNode()?.[1].driver.replicas() ?? [];
    return replicas.map(({ replica, role }) =>
      `${replica} ${role === "leader" ? "follower" : role}`
    ).sort();
  }

  /** Proposes a command at the leader; resolves with whether it was committed. */
  async commit(command: string): Promise<boolean> {
    const node = this.#leadingNode()?.[1];
    return (await node?.driver.propose(command))?.ok === true;
  }

  #leadingNode(): [string, Node] | undefined {
    return [...this.#nodes].find(([host, { driver }]) =>
      !this.#cut.has(host) && driver.isConfirmedLeader
    ) ?? [...this.#nodes].find(([host, { driver }]) =>
      !this.#cut.has(host) && driver.leadership().isLeader
    );
  }

  #node(host: string): Node {
    return this.#nodes.get(host)!;
  }

  async #start(
    host: string,
    replica: string,
    stored: StoredState,
    seeds = this.#seeds,
  ): Promise<void> {
    const metrics = new Metrics();
    const driver: Driver = new RaftDriver<string[], string, number>({
      settings: {
        entry: host,
        zone: "zone-a",
        listen: { link: addressOf(host) },
        link: { maxMessageBytes: 4_194_304 },
        raft,
      },
      stateMachine: {
        empty: () => [],
        apply: (state, command) => Ok(state.push(command)),
        encode: (state) => [JSON.stringify(state)],
        decode: (lines) => JSON.parse([...lines].join("")) as string[],
      },
      replica,
      stored: structuredClone(stored),
      storage: storageOf(stored),
      clock: TEST_CLOCK,
      random: seededRandom(host),
      log: QUIET_LOG,
      metrics,
      send: (entry, message) => this.#deliver(host, entry, message),
      onStorageFailure: () => {},
    });
    const handlers = new Map();
    const controller = new DynamicMembershipController({
      replica: driver,
      self: memberNamed(host, replica.slice(host.length + 1)),
      rules: RULES,
      seeds: seeds.filter((seed) => seed !== host),
      leader: new LeaderClient({
        entry: host,
        local: handlers,
        clock: TEST_CLOCK,
        links: {
          keys: () => this.#node(host).known.filter((other) => other !== host),
          get: (to) => ({
            request: (method, params, timeoutMs) =>
              this.#request(host, to, { method, params, timeoutMs }),
          }),
        },
      }),
      onMembers: (hosts) => {
        this.#node(host).known = hosts;
      },
      clock: TEST_CLOCK,
      log: this.#recordingLog(host),
      metrics,
    });
    controller.handlers().forEach((handler, method) =>
      handlers.set(method, handler)
    );
    this.#nodes.set(host, {
      replica,
      stored,
      driver,
      handlers,
      controller,
      known: seeds,
    });
    this.heal(host);
    await driver.start();
    await controller.start();
  }

  #recordingLog(host: string): Log {
    return {
      ...QUIET_LOG,
      info: (event, fields = {}) => {
        const values = Object.entries(fields)
          .filter(([, value]) => value !== undefined)
          .map(([key, value]) => `${key}=${value}`);
        this.events.push([host, event, ...values].join(" "));
      },
    };
  }

  #isReachable(from: string, to: string): boolean {
    return this.#nodes.has(to) && !this.#cut.has(from) && !this.#cut.has(to);
  }

  #deliver(from: string, to: string, message: RaftMessage): void {
    if (this.#isReachable(from, to)) {
      const copy = structuredClone(message);
      setTimeout(() => this.#nodes.get(to)?.driver.receive(copy), 1);
    }
  }

  async #request(
    from: string,
    to: string,
    call: { method: string; params: unknown; timeoutMs: number },
  ): Promise<Result<unknown, ReturnType<typeof fault>>> {
    if (!this.#isReachable(from, to)) {
      await wait(call.timeoutMs);
      return Err(fault("timeout", `No answer from "${to}"`));
    }
    const handler = this.#node(to).handlers.get(call.method);
    return await handler!(structuredClone(call.params));
  }
}

function memberNamed(host: string, life: string): {
  replica: string;
  entry: string;
  zone: string;
  address: string;
} {
  return {
    replica: `${host}#${life}`,
    entry: host,
    zone: "zone-a",
    address: addressOf(host),
  };
}

function addressOf(host: string): string {
  return `127.0.0.${host.charCodeAt(0)}:7000`;
}

/** Storage that keeps each write in `stored` at once. */
function storageOf(stored: StoredState): Storage {
  return {
    save: ({ hardState, installed, entries }: RaftWrite) => {
      if (installed !== undefined) {
        stored.snapshot = { ...installed, data: textOf(installed.data) };
        stored.entries = [];
      }
      stored.hardState = hardState ?? stored.hardState;
      const first = entries[0]?.index ?? Infinity;
      stored.entries = [
        ...stored.entries.filter(({ index }) => index < first),
        ...entries,
      ];
      return Promise.resolve(Ok.EMPTY);
    },
    // The log stays longer than the snapshot allows, which recovery accepts.
    compact: (_: unknown, parts: Iterable<string>) =>
      Promise.resolve(Ok([...parts].join(""))),
    close: () => Promise.resolve(),
  } as unknown as Storage;
}

/** Differs from host to host, so that elections are not split. */
function seededRandom(host: string): () => number {
  let state = host.charCodeAt(0);
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}
