// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Case 2: a core machine is replaced as planned. When its successor has had its time to catch up, two machines lose their
// disks.
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import process from "node:process";
import { call, seeded, until, wait } from "../lib/calls.mjs";
import { Deployment, freePrefix } from "../lib/deployment.mjs";
import { History } from "../lib/history.mjs";
import { Platform } from "../lib/platform.mjs";
import { Worker } from "../lib/worker.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const random = seeded(Number(process.env.SEED ?? 1));

const WORKERS = 6;
const CPU = 64000;
const MEM_MB = 262144;
const JOBS = 20;
const TASKS = 4;
const TASK_CPU = 4600;
const TASK_MEM_MB = 9400;
/** The machine that is replaced, its successor, and the machines that lose their disks. */
const LEAVER = "core-5";
const SUCCESSOR = "core-6";
const WIPED = ["core-2", "core-3"];
/** Pause between the start of the successor and the SIGTERM of the machine that it replaces. */
const OVERLAP_MS = 2000;
/** From the end of the replaced machine to the loss of the disks; catch_up_s is 4. */
const SETTLED_MS = 4500;
const DOWN_MS = 1000;
/** Time for the recovery: recovery_s is 12, finish_s is 14. */
const RECOVERY_MS = 20000;
/** Time in which each read is tried again. */
const READ_MS = 8000;

const HOST = "jobs.example";
const PREFIX = "/plans/";
const history = new History();
const prefix = await freePrefix();
const deployment = new Deployment(prefix);
const agent = new Agent({ keepAlive: true });

/** The control addresses in the operator's list. */
const listed = new Set(deployment.cores);

function controlAddresses() {
  const nodes = [...listed].map((name) => deployment.control(name));
  const first = Math.floor(random() * nodes.length);
  return [...nodes.slice(first), ...nodes.slice(0, first)];
}

const world = {
  control: controlAddresses,
  durationMs: () => 800,
  demandOf: () => ({ cpu: TASK_CPU, mem: TASK_MEM_MB }),
  onStart: (task, run, worker) => history.recordStart(task, run, worker),
  onEnd: (task, run, how, worker) => history.recordEnd(task, run, how, worker),
  onNoted: () => {},
};

const platform = new Platform(deployment.platform, async (machine) => {
  const worker = new Worker({
    id: `i-${machine.id}-${machine.lives}`,
    machine: machine.id,
    service: machine.pool,
    address: machine.address,
    cpu: machine.cpu,
    memMb: machine.memMb,
    labels: machine.labels,
    maxHoldMs: deployment.bounds.max_hold_ms,
  }, world);
  await worker.start();
  return worker;
});

function configuration(version) {
  return {
    version,
    routes: [{
      name: "r-plans",
      host: HOST,
      path_prefix: PREFIX,
      type: "unsafe",
      timeout_ms: 3000 + version,
      target_latency_ms: 600,
      priority: 0,
      service: "routen",
      max_attempts: 3,
      slack_factor: 1.6,
    }],
    services: [{
      name: "routen",
      health_check_path: "/health",
      max_connections: 64,
      protocol: "h1",
      tls: false,
      enforce_capacity: true,
      standby: false,
    }],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/** Calls the nodes in turn until one answers with success; returns its answer. */
async function callControl(method, path, body, limitMs) {
  let answer;
  await until(async () => {
    for (const node of controlAddresses()) {
      answer = await call(node, method, path, { body, timeoutMs: 1000 });
      if (answer.status === 200) {
        return true;
      }
    }
    return false;
  }, limitMs);
  return answer;
}

async function configure(version) {
  const answer = await callControl(
    "POST",
    "/quetzalcove/Config.Replace",
    configuration(version),
    20000,
  );
  history.note(`configuration ${version} is answered ${answer.status}`);
  return answer.status === 200;
}

async function submit(id) {
  const step = {
    count: TASKS,
    cpu: TASK_CPU,
    mem_mb: TASK_MEM_MB,
    estimated_ms: 800,
  };
  return await until(async () => {
    const answer = await call(
      deployment.front(deployment.fronts[0]),
      "POST",
      PREFIX + id,
      { body: { spec: `text of ${id}`, steps: [step] }, host: HOST, agent },
    );
    history.note(`job ${id} is answered ${answer.status}`);
    return answer.status === 200;
  }, 10000);
}

/** The state of a job, or the last status if none of the fronts gives it in time. */
async function stateOf(id) {
  let state = "";
  await until(async () => {
    for (const name of deployment.fronts) {
      const answer = await call(
        deployment.front(name),
        "GET",
        PREFIX + id,
        { host: HOST, agent },
      );
      state = answer.body?.state ?? `answered ${answer.status}`;
      if (answer.status === 200) {
        return true;
      }
    }
    return false;
  }, READ_MS);
  return state;
}

async function run() {
  await platform.start();
  deployment.startAll();
  for (let i = 1; i <= WORKERS; i++) {
    await platform.add({
      id: `m-${i}`,
      pool: "routen",
      address: `${prefix}.4.${i}:8080`,
      cpu: CPU,
      memMb: MEM_MB,
      labels: ["a", `r1-${Math.ceil(i / 4)}`],
    });
  }
  if (!await configure(1)) {
    return { problem: "the configuration was not acknowledged" };
  }
  // As on the platform, traffic starts 12 s after the machines.
  await wait(12000);
  const jobs = Array.from(
    { length: JOBS },
    (_, n) => (0x5c0e7a2100000000n + BigInt(n)).toString(16),
  );
  for (const id of jobs) {
    if (!await submit(id)) {
      return { problem: `job ${id} was not accepted` };
    }
    await wait(100);
  }
  await replace();
  const version = 7;
  if (!await configure(version)) {
    return { problem: "the change was not acknowledged" };
  }
  if (HAS_TROUBLE) {
    await loseDisks();
  } else {
    await wait(DOWN_MS);
  }
  await wait(RECOVERY_MS);
  return { breaks: await readBack(jobs, version) };
}

/** Replaces a core machine by an empty one at another address: the new one first, then SIGTERM. */
async function replace() {
  history.note(`${SUCCESSOR} starts with an empty disk`);
  deployment.cores.push(SUCCESSOR);
  deployment.start(SUCCESSOR);
  listed.add(SUCCESSOR);
  await wait(OVERLAP_MS);
  history.note(`${LEAVER} gets SIGTERM`);
  await deployment.remove(LEAVER, "SIGTERM");
  listed.delete(LEAVER);
  history.note(`${LEAVER} has ended and is gone for good`);
  deployment.seeds = ["core-1", "core-4", SUCCESSOR];
  await wait(SETTLED_MS);
}

/** Two machines lose power and their disks. */
async function loseDisks() {
  history.note(`${WIPED.join(" and ")} lose power and their disks`);
  await Promise.all(WIPED.map((name) => deployment.remove(name, "SIGKILL")));
  await wait(DOWN_MS);
  WIPED.forEach((name) => deployment.restartEmpty(name));
  history.note(`${WIPED.join(" and ")} are back, with empty disks`);
}

async function readBack(jobs, version) {
  const breaks = [];
  const read = await callControl(
    "GET",
    "/quetzalcove/Config.Describe",
    undefined,
    READ_MS,
  );
  const readVersion = read.body?.version ?? `status ${read.status}`;
  history.note(`the configuration read back is ${readVersion}`);
  if (readVersion !== version) {
    breaks.push(
      `configuration ${version} was acknowledged; read back: ${readVersion}`,
    );
  }
  await Promise.all(jobs.map(async (id) => {
    const state = await stateOf(id);
    history.note(`job ${id} is ${state}`);
    if (state !== "completed") {
      breaks.push(`job ${id} was accepted; its state is: ${state}`);
    }
  }));
  return breaks;
}

const { problem, breaks = [] } = await run().catch((error) => ({
  problem: error.stack,
}));
agent.destroy();
const logged = deployment.logLines("replica.membership").concat(
  deployment.logLines("raft.role"),
);
await deployment.stop();
await platform.stop();
if (process.env.KEEP !== undefined) {
  process.stdout.write(`${deployment.folder}\n`);
} else {
  deployment.discard();
}
const result = problem !== undefined
  ? `could not run: ${problem}`
  : breaks.length > 0
  ? `LOST is broken ${breaks.length} times`
  : "LOST holds";
const summary = [`trouble ${HAS_TROUBLE}: ${result}`, ...breaks];
writeFileSync(
  new URL("record.txt", import.meta.url),
  [...summary, "", ...history.lines, "", ...logged, ""].join("\n"),
);
process.stdout.write(`${summary.slice(0, 8).join("\n")}\n`);
process.exit(problem !== undefined ? 2 : breaks.length > 0 ? 1 : 0);
