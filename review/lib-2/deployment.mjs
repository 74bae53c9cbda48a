// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// The project's own programs as processes on loopback addresses, with the commands of the deploy file.
import { spawn } from "node:child_process";
import { mkdirSync, openSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { call } from "./http.mjs";
import { commandOf, ROOT, until, wait } from "./files.mjs";

// Bounds of fpw-bern; `bounds` in the settings of a process.
export const BOUNDS = {
  contact_ms: 3_000,
  catch_up_s: 4,
  drain_ms: 2_000,
  grace_s: 6,
  max_hold_ms: 6_000,
  stop_timeout_ms: 200,
  status_s: 120,
  cancel_ms: 3_000,
  config_apply_ms: 2_000,
  gang_timeout_ms: 3_000,
  restore_ms: 100,
  checkpoint_s: 1,
  migration_s: 1.5,
  maintenance_s: 2,
};

const SEEDS = 3;
const RESTART_MS = 300;

// The first two octets of loopback addresses of which nothing uses the ports.
export async function freePrefix() {
  for (let tries = 0; tries < 50; tries++) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}`;
    const addresses = [1, 2, 3].map((i) => `${prefix}.1.${i}`);
    const free = await Promise.all(addresses.map((host) => isFree(host, 8623)));
    if (free.every(Boolean)) {
      return prefix;
    }
  }
  throw new Error("No loopback addresses are free");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export class Deployment {
  constructor({ prefix, folder, record, replicas = 5, entries = 2, cloud }) {
    this.prefix = prefix;
    this.folder = folder;
    this.record = record;
    this.cloud = cloud;
    this.children = new Map();
    this.isStopped = false;
    this.replicas = names("core", replicas);
    this.entries = names("front", entries);
    // Also if the script is ended from outside.
    process.on("exit", () => this.killAll());
    ["SIGINT", "SIGTERM"].forEach((signal) =>
      process.on(signal, () => process.exit(2))
    );
  }

  host(name) {
    const [kind, number] = name.split("-");
    return `${this.prefix}.${kind === "core" ? 1 : 2}.${number}`;
  }

  controlAddress(name) {
    return `${this.host(name)}:8623`;
  }

  controlAddresses() {
    return this.replicas.map((name) => this.controlAddress(name));
  }

  entryAddress(name) {
    return `${this.host(name)}:8624`;
  }

  start() {
    [...this.replicas, ...this.entries].forEach((name) =>
      this.startProcess(name, true)
    );
  }

  startProcess(name, isFirst = false) {
    const isReplica = this.replicas.includes(name);
    const host = this.host(name);
    const data = join(this.folder, `data-${name}`);
    if (isReplica) {
      mkdirSync(data, { recursive: true });
    }
    // What platform/settings.template.json gives for a machine of fpw-bern.
    const settings = {
      cluster: "fleet",
      node: name,
      host,
      zone: "halle-nord",
      listen: {
        ...(isReplica ? { control: `${host}:8623` } : {
          service: `${host}:8624`,
          health: `${host}:8622`,
        }),
        link: `${host}:7060`,
        metrics: `${host}:9464`,
      },
      seeds: this.replicas.slice(0, SEEDS).map((seed) =>
        this.controlAddress(seed)
      ),
      firstStart: isFirst,
      dataFolder: isReplica ? data : null,
      fleet: this.cloud ?? null,
      advisor: null,
      limits: isReplica ? { memoryMb: 346, diskMb: 128 } : { memoryMb: 350 },
      raft: { catchUpSeconds: BOUNDS.catch_up_s },
      graceSeconds: BOUNDS.grace_s,
      statusSeconds: BOUNDS.status_s,
      pools: { reclaim: false },
      workers: {
        hedgeAfterMs: 100,
        pauseUnanswered: true,
        avoidSlow: true,
        maxLeaseMs: BOUNDS.max_hold_ms,
        stopMs: BOUNDS.stop_timeout_ms,
      },
    };
    const file = join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const log = openSync(join(this.folder, `${name}.log`), "a");
    const [program, ...args] = commandOf(isReplica ? "replica" : "entry");
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, QUETZALCOVE_SETTINGS: file },
      stdio: ["ignore", log, log],
    });
    this.children.set(name, child);
    child.on("exit", (code, signal) => {
      if (this.children.get(name) === child) {
        this.children.delete(name);
      }
      if (!this.isStopped) {
        this.record.add(name, "process ended", { code, signal });
      }
    });
  }

  // SIGKILL; starts again `downMs` later with its disk, as the platform does.
  kill(name, downMs = RESTART_MS) {
    this.record.add(name, "SIGKILL");
    this.children.get(name)?.kill("SIGKILL");
    setTimeout(() => {
      if (!this.isStopped) {
        this.record.add(name, "started again");
        this.startProcess(name);
      }
    }, downMs);
  }

  signal(name, signal) {
    this.record.add(name, signal);
    this.children.get(name)?.kill(signal);
  }

  // The replica that leads, as the processes say.
  async leader() {
    for (const name of this.replicas) {
      const answer = await call({
        address: `${this.host(name)}:9464`,
        method: "GET",
        path: "/status",
        timeoutMs: 300,
      });
      if (answer?.body?.tenure !== undefined) {
        return name;
      }
    }
    return undefined;
  }

  // Sends a configuration until it is acknowledged.
  async configure(configuration) {
    const isDone = await until(
      async () => {
        const answer = await call({
          address: this.controlAddresses()[
            Math.floor(Math.random() * this.replicas.length)
          ],
          method: "POST",
          path: "/quetzalcove/Config.Replace",
          body: configuration,
          timeoutMs: 2_000,
        });
        return answer?.status === 200;
      },
      20_000,
      200,
    );
    this.record.add("operator", "configuration", { acknowledged: isDone });
    return isDone;
  }

  killAll() {
    for (const child of this.children.values()) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
  }

  async stop() {
    this.isStopped = true;
    const children = [...this.children.values()];
    this.killAll();
    await until(
      () =>
        children.every((child) =>
          child.exitCode !== null || child.signalCode !== null
        ),
      5_000,
    );
    await wait(50);
  }
}

function names(kind, count) {
  return Array.from({ length: count }, (_, i) => `${kind}-${i + 1}`);
}

// A configuration with one queue for each service.
export function configuration(version, services, fields = {}) {
  return {
    version,
    routes: services.map((service) => ({
      name: `r-${service}`,
      host: "jobs.example",
      path_prefix: `/${service}/`,
      type: "unsafe",
      timeout_ms: 3_000,
      target_latency_ms: 600,
      priority: 0,
      service,
      max_attempts: 3,
      slack_factor: 2,
      ...fields,
    })),
    services: services.map((name) => ({
      name,
      health_check_path: "/health",
      max_connections: 64,
      protocol: "h1",
      tls: false,
      enforce_capacity: true,
      standby: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

// A client of one entry.
export class Client {
  constructor(deployment, service, entry = "front-1") {
    this.deployment = deployment;
    this.service = service;
    this.entry = entry;
  }

  // Submits a job until it is accepted, as clients do; the status of the last answer.
  async submit(id, job, limitMs = 15_000) {
    const { record } = this.deployment;
    let status;
    await until(
      async () => {
        status = (await this.#call("POST", id, job))?.status;
        record.add("client", "submit", { id, status: status ?? "no answer" });
        return status === 200 || status === 404 || status === 400;
      },
      limitMs,
      300,
    );
    return status;
  }

  async state(id) {
    const answer = await this.#call("GET", id);
    return answer?.status === 200
      ? answer.body?.state
      : answer?.status ?? "no answer";
  }

  async cancel(id) {
    const answer = await this.#call("DELETE", id);
    this.deployment.record.add("client", "cancel", {
      id,
      status: answer?.status ?? "no answer",
    });
    return answer?.status;
  }

  #call(method, id, body) {
    return call({
      address: this.deployment.entryAddress(this.entry),
      method,
      path: `/${this.service}/${id}`,
      host: "jobs.example",
      headers: { "x-deadline-ms": "3000" },
      body,
      timeoutMs: 3_000,
    });
  }
}
