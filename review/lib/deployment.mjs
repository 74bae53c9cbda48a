// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Starts the nodes of a small deployment with the commands of the deploy file, as separate processes on loopback addresses.
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const DEPLOY = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
const TEMPLATE = readFileSync(
  join(ROOT, "platform/settings.template.json"),
  "utf8",
);

/** Bounds as the sheet of the site gives them. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  config_apply_ms: 2000,
  recovery_s: 12,
  max_hold_ms: 6000,
  stop_timeout_ms: 200,
  gang_timeout_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  status_s: 120,
  remote_factor: 3,
  migration_s: 1.5,
  maintenance_s: 2,
  lease_ms: 3000,
};

/** Finds the first two octets of loopback addresses that no other run uses, by an address that stays bound until the end. */
export async function freePrefix() {
  for (let i = 0; i < 150; i++) {
    const prefix = `127.${60 + (process.pid + i) % 150}`;
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(8600, `${prefix}.250.1`, () => resolve(true));
    });
    if (isFree) {
      server.unref();
      return prefix;
    }
  }
  throw new Error("no free loopback addresses");
}

/** Arguments of the command that the deploy file gives for a role. */
function commandOf(role) {
  const section = DEPLOY.split(`[roles.${role}]`)[1] ?? "";
  const [, run = ""] = /run = "([^"]+)"/.exec(section) ?? [];
  return run.split(" ");
}

function lookUp(scopes, path) {
  if (path === ".") {
    return scopes[0];
  }
  const keys = path.split(".");
  for (const scope of scopes) {
    let value = scope;
    for (const key of keys) {
      value = value?.[key];
    }
    if (value !== undefined) {
      return value;
    }
  }
  return undefined;
}

/** Fills in a template as DEPLOY.md describes it, as far as the template of this project needs it. */
export function render(template, scopes) {
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
  const sections = template.replace(section, (_, kind, path, body) => {
    const value = lookUp(scopes, path);
    const isSet = value !== undefined && value !== null && value !== false;
    if (kind === "^") {
      return isSet ? "" : render(body, scopes);
    }
    return isSet ? render(body, [value, ...scopes]) : "";
  });
  return sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = lookUp(scopes, path);
    return json ? JSON.stringify(value ?? null) : String(value ?? "");
  });
}

export class Deployment {
  /** `prefix` is the first two octets of loopback addresses that nothing else uses. */
  constructor(prefix, { cores = 5, fronts = 2, bounds = {} } = {}) {
    this.prefix = prefix;
    this.bounds = { ...BOUNDS, ...bounds };
    this.folder = mkdtempSync(join(tmpdir(), "quetzalcove-review-"));
    this.cores = Array.from({ length: cores }, (_, i) => `core-${i + 1}`);
    /** Machines that the settings name as seeds from now on. */
    this.seeds = this.cores.slice(0, 3);
    this.fronts = Array.from({ length: fronts }, (_, i) => `front-${i + 1}`);
    this.children = new Map();
    this.exits = [];
    this.isStopped = false;
    this.platform = `${prefix}.3.1:8621`;
    /** Machines that are gone for good, or have no power. */
    this.removed = new Set();
  }

  host(name) {
    const number = Number(name.split("-")[1]);
    return `${this.prefix}.${name.startsWith("core") ? 1 : 2}.${number}`;
  }

  control(name) {
    return `${this.host(name)}:8623`;
  }

  front(name) {
    return `${this.host(name)}:8624`;
  }

  settings(name, bootstrap) {
    const isCore = name.startsWith("core");
    const host = this.host(name);
    return {
      node_name: name,
      ip: host,
      zone: "zone-a",
      listen_addrs: isCore ? { control: `${host}:8623` } : {
        front: `${host}:8624`,
        readiness_addr: `${host}:8622`,
      },
      port_range: [7060, 7075],
      seeds: this.seeds.map((seed) => this.control(seed)),
      bootstrap,
      data_dir: isCore ? join(this.folder, "disks", name) : null,
      bounds: this.bounds,
      cloud_api: { address: this.platform },
    };
  }

  start(name, bootstrap = false) {
    if (this.isStopped || this.removed.has(name)) {
      return;
    }
    const file = join(this.folder, `${name}.json`);
    mkdirSync(join(this.folder, "disks", name), { recursive: true });
    writeFileSync(file, render(TEMPLATE, [this.settings(name, bootstrap)]));
    const [program, ...args] = commandOf(
      name.startsWith("core") ? "replica" : "entry",
    );
    const child = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, QUETZALCOVE_SETTINGS: file },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    const log = createWriteStream(join(this.folder, `${name}.log`), {
      flags: "a",
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.children.set(name, child);
    child.once("exit", (code, signal) => {
      if (
        this.isStopped || this.removed.has(name) ||
        this.children.get(name) !== child
      ) {
        return;
      }
      this.exits.push({ at: Date.now(), name, code, signal });
      // The platform restarts a process that exits after a short delay.
      setTimeout(() => this.start(name), 200);
    });
  }

  /** Ends all processes at once, when this one ends. */
  killAll() {
    this.isStopped = true;
    this.children.forEach((child) => child.kill("SIGKILL"));
  }

  startAll() {
    process.once("exit", () => this.killAll());
    ["SIGINT", "SIGTERM"].forEach((signal) =>
      process.once(signal, () => process.exit(2))
    );
    [...this.cores, ...this.fronts].forEach((name) => this.start(name, true));
  }

  signal(name, signal) {
    this.children.get(name)?.kill(signal);
  }

  /** Ends a process with a signal and does not restart it; resolves when it has ended. */
  async remove(name, signal) {
    this.removed.add(name);
    const child = this.children.get(name);
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill(signal);
    await ended;
  }

  /** Starts a removed machine again, with an empty disk. */
  restartEmpty(name) {
    rmSync(join(this.folder, "disks", name), { recursive: true, force: true });
    this.removed.delete(name);
    this.start(name);
  }

  async stop() {
    this.isStopped = true;
    await Promise.all([...this.children.values()].map((child) => {
      if (child.exitCode !== null || child.signalCode !== null) {
        return undefined;
      }
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      return ended;
    }));
  }

  discard() {
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Log lines of all nodes that hold a text. */
  logLines(text) {
    return [...this.cores, ...this.fronts].flatMap((name) => {
      const path = join(this.folder, `${name}.log`);
      return readFileSync(path, "utf8").split("\n")
        .filter((line) => line.includes(text))
        .map((line) => `${name} ${line}`);
    });
  }
}
