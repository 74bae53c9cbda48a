// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Case 5: one job comes that can never be done. It has very many tasks, each larger than any worker.
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
/** Tasks of the hopeless job, and the cores of each, more than any worker has. */
const HOPELESS_TASKS = 3000000;
const HOPELESS_CPU = 100000;
/** Longer than finish_s, 14. */
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
  await wait(4000);
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
  const version = 7;
  if (!await configure(version)) {
    return { problem: "the change was not acknowledged" };
  }
  if (HAS_TROUBLE) {
    await submitHopeless();
  }
  await wait(RECOVERY_MS);
  return { breaks: await readBack(jobs, version) };
}

async function submitHopeless() {
  const step = {
    count: HOPELESS_TASKS,
    cpu: HOPELESS_CPU,
    mem_mb: TASK_MEM_MB,
    estimated_ms: 800,
  };
  const id = "6d1f8b3200000000";
  const answer = await call(
    deployment.front(deployment.fronts[0]),
    "POST",
    PREFIX + id,
    { body: { spec: `text of ${id}`, steps: [step] }, host: HOST, agent },
  );
  history.note(`the hopeless job ${id} is answered ${answer.status}`);
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
const logged = deployment.exits.map(({ at, name, code, signal }) =>
  `${new Date(at).toISOString()} ${name} ended by itself: ${code ?? signal}`
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
