/**
 * A cluster of daemon processes on loopback addresses, with a relay for each direction of each pair of daemons.
 *
 * @module
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type {
  Inventory,
  Rules,
  Settings,
  Status,
  Vms,
} from "@quetzalcove/core";
import {
  callAdmin,
  Child,
  eventually,
  logFilePath,
} from "@quetzalcove/emulator";
import { Relay } from "./relay.ts";

/** Options of a test cluster. */
export interface ClusterOptions {
  entries: number;
  replicas: number;
  /** Overrides of the settings of every daemon. */
  settings?: Partial<Settings>;
  /** Options of Node.js for every daemon; none unless given. */
  nodeOptions?: readonly string[];
}

const DAEMON = fileURLToPath(
  new URL("../../packages/daemon/bin/quetzalcoved.js", import.meta.url),
);
const PORTS = {
  service: 8080,
  admin: 8081,
  link: 8082,
  relay: 20_000,
} as const;
/** Second octets of daemon addresses start here, those of target addresses `NETWORK_COUNT` above. */
const SECOND_OCTET_BASE = 30;
const NETWORK_COUNT = 97;
const ZONES = ["zone-a", "zone-b", "zone-c"] as const;

/** Time-out of every wait of a test. */
export const WAIT_TIMEOUT_MS = 45_000;

/** First two octets of loopback addresses, which depend on the process id to keep test processes apart. */
export function networkPrefix(kind: "daemons" | "targets"): string {
  const offset = kind === "daemons" ? 0 : NETWORK_COUNT;
  return `127.${SECOND_OCTET_BASE + offset + (process.pid % NETWORK_COUNT)}`;
}

/** First port of the targets, which depends on the process id to keep test processes apart. */
export const TARGET_PORT = 10_000 + process.pid % 20_000;

const thirdOctet = Math.floor(process.pid / NETWORK_COUNT) % 250;
let clusterCount = 0;

export class Cluster {
  readonly folder = mkdtempSync(join(tmpdir(), "quetzalcove-test-"));
  readonly #options: ClusterOptions;
  readonly #firstHost: number;
  readonly #children = new Map<string, Child>();
  readonly #relays = new Map<string, Relay>();

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.#firstHost = (clusterCount * 10) % 240 + 1;
    clusterCount += 1;
  }

  /** Names of the entries. */
  get names(): string[] {
    return Array.from(
      { length: this.#options.entries },
      (_, index) => `e${index + 1}`,
    );
  }

  /** Service address of an entry. */
  service(name: string): string {
    return `${this.#hostOf(name)}:${PORTS.service}`;
  }

  /** Administration address of an entry. */
  admin(name: string): string {
    return `${this.#hostOf(name)}:${PORTS.admin}`;
  }

  /** Address at which a daemon accepts links, without a relay. */
  link(name: string): string {
    return `${this.#hostOf(name)}:${PORTS.link}`;
  }

  /** Service addresses of all entries. */
  services(): string[] {
    return this.names.map((name) => this.service(name));
  }

  /** The relay for connections from one daemon to another. */
  relay(from: string, to: string): Relay {
    const relay = this.#relays.get(`${from}>${to}`);
    if (relay === undefined) {
      throw new Error(`No relay from "${from}" to "${to}"`);
    }
    return relay;
  }

  /** The relays between a daemon and all others, in both directions. */
  relaysOf(name: string): Relay[] {
    const others = this.names.filter((other) => other !== name);
    return others.flatMap((
      other,
    ) => [this.relay(name, other), this.relay(other, name)]);
  }

  /** Starts and initializes the cluster; resolves once all replicas are voters and all entries are healthy. */
  async start(): Promise<void> {
    await this.#startRelays();
    this.names.forEach((name) => this.startDaemon(name));
    const exits: string[] = [];
    for (const [name, child] of this.#children) {
      void child.ended.then(({ code }) => {
        const lastLine = this.log(name).trim().split("\n").at(-1);
        exits.push(`Daemon ${name} ended with code ${code}: ${lastLine}`);
      });
    }
    await this.waitFor("all voters", async () => {
      const [exit] = exits;
      if (exit !== undefined) {
        throw new Error(exit);
      }
      await callAdmin(this.admin("e1"), "/v1/init", {});
      return await this.#isFormed();
    });
    await this.waitFor("health of every entry", () => this.#allHealthy());
  }

  async stop(): Promise<void> {
    for (const child of this.#children.values()) {
      child.signal("SIGCONT");
      child.signal("SIGKILL");
    }
    await Promise.all([...this.#children.values()].map((child) => child.ended));
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
    if (!process.env["KEEP"]) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  startDaemon(name: string): void {
    const file = join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(this.#settingsOf(name), null, 2));
    const { nodeOptions = [] } = this.#options;
    const command = [...nodeOptions, DAEMON, "--settings", file];
    this.#children.set(name, new Child(name, command, this.#logOf(name)));
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.signal(signal);
  }

  /** Kills a daemon, also a stopped one, and waits until it has exited. */
  async kill(name: string): Promise<void> {
    this.signal(name, "SIGCONT");
    this.signal(name, "SIGKILL");
    await this.#children.get(name)?.ended;
  }

  /** Sends SIGTERM to a daemon; resolves with its exit code. */
  async terminate(name: string): Promise<number | null> {
    const exit = await this.#children.get(name)?.stop();
    return exit?.code ?? null;
  }

  /** Process id of a daemon; undefined if it was not started. */
  pid(name: string): number | undefined {
    return this.#children.get(name)?.pid;
  }

  /** Waits until a daemon exits by itself; resolves with its exit code. */
  async exitCode(name: string): Promise<number | null> {
    return (await this.#children.get(name)?.ended)?.code ?? null;
  }

  /** Deletes the data folder of a daemon, to simulate the loss of its disk. */
  loseDisk(name: string): void {
    rmSync(join(this.folder, "data", name), { recursive: true, force: true });
  }

  log(name: string): string {
    return readFileSync(this.#logOf(name), "utf8");
  }

  /** The status that a daemon reports; undefined if it returned none. */
  async status(name: string): Promise<Status | undefined> {
    const answer = await callAdmin<Status>(this.admin(name), "/v1/status");
    return answer?.status === 200 ? answer.value : undefined;
  }

  /** Waits until one of the given daemons reports a leader, and returns its entry. */
  async leader(from: readonly string[] = this.names): Promise<string> {
    let leader: string | null | undefined;
    await this.waitFor("a leader", async () => {
      for (const name of from) {
        leader ??= (await this.status(name))?.leader;
      }
      return leader !== undefined && leader !== null;
    });
    return leader ?? "";
  }

  /** Sends a configuration change and returns the status and the answer; undefined if the call failed. */
  configure(
    name: string,
    change: {
      change: string;
      base: number;
      inventory: Inventory;
      rules: Rules;
    },
  ): ReturnType<typeof callAdmin<{ version: number; revision: number }>> {
    return callAdmin(this.admin(name), "/v1/configuration", change);
  }

  async vms(name: string): Promise<Vms["vms"]> {
    const answer = await callAdmin<Vms>(this.admin(name), "/v1/vms");
    return answer?.status === 200 ? answer.value.vms : [];
  }

  /** Waits until a condition holds; throws an error with its description after the time-out. */
  async waitFor(
    description: string,
    condition: () => Promise<boolean> | boolean,
  ): Promise<void> {
    if (!await eventually(condition, WAIT_TIMEOUT_MS)) {
      throw new Error(
        `Timed out after ${WAIT_TIMEOUT_MS} ms waiting for: ${description}`,
      );
    }
  }

  async #startRelays(): Promise<void> {
    let port = PORTS.relay;
    for (const from of this.names) {
      for (const to of this.names.filter((name) => name !== from)) {
        const relay = new Relay(
          { host: this.#hostOf(to), port },
          { host: this.#hostOf(to), port: PORTS.link },
        );
        this.#relays.set(`${from}>${to}`, relay);
        await relay.start();
        port += 1;
      }
    }
  }

  async #isFormed(): Promise<boolean> {
    const answer = await callAdmin<
      { replicas?: { role: string; caughtUp: boolean }[] }
    >(
      this.admin("e1"),
      "/v1/replicas",
    );
    const voters = (answer?.value.replicas ?? [])
      .filter((replica) => replica.role !== "learner" && replica.caughtUp);
    return voters.length === this.#options.replicas;
  }

  async #allHealthy(): Promise<boolean> {
    const healthy = await Promise.all(this.names.map(async (name) => {
      return (await callAdmin(this.admin(name), "/healthz"))?.status === 200;
    }));
    return healthy.every(Boolean);
  }

  #hostOf(name: string): string {
    return `${networkPrefix("daemons")}.${thirdOctet}.${
      this.#firstHost + Number(name.slice(1)) - 1
    }`;
  }

  #logOf(name: string): string {
    return logFilePath(this.folder, name);
  }

  #settingsOf(name: string): unknown {
    const index = this.names.indexOf(name);
    const isReplica = index < this.#options.replicas;
    return {
      cluster: "test",
      entry: name,
      zone: zoneOf(index),
      listen: {
        service: this.service(name),
        admin: this.admin(name),
        link: this.link(name),
      },
      peers: this.names.map((peer, peerIndex) => ({
        entry: peer,
        zone: zoneOf(peerIndex),
        link: peer === name
          ? `${this.#hostOf(peer)}:${PORTS.link}`
          : this.#relayAddress(name, peer),
        admin: this.admin(peer),
        replica: peerIndex < this.#options.replicas,
      })),
      ...(isReplica && { dataFolder: join(this.folder, "data", name) }),
      ...this.#options.settings,
    };
  }

  #relayAddress(from: string, to: string): string {
    const pairs = this.names.flatMap((a) =>
      this.names.filter((b) => b !== a).map((b) => `${a}>${b}`)
    );
    return `${this.#hostOf(to)}:${
      PORTS.relay + pairs.indexOf(`${from}>${to}`)
    }`;
  }
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? ZONES[0];
}
