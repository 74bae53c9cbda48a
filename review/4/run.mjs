// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Case 4: a worker fails part of the orders that it gets for some seconds, while it goes on to report itself.
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import process from "node:process";
import { call, seeded, until, wait } from "../lib/calls.mjs";
import { Deployment, freePrefix } from "../lib/deployment.mjs";
import { History } from "../lib/history.mjs";
import { Platform } from "../lib/platform.mjs";
import { Worker } from "../lib/worker.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SEED = Number(process.env.SEED ?? 1);

const WORKERS = 20;
/** Number of workers that fail orders at the same time. */
const GREY_WORKERS = 3;
const CPU = 64000;
const MEM_MB = 262144;
const TASK_CPU = 2000;
const TASK_MEM_MB = 9400;
const JOB_INTERVAL_MS = 30;
const MAX_TASKS = 2;
const TRAFFIC_MS = 82000;
/** In each episode some workers fail this share of their orders. */
const FAILED_SHARE = 0.5;
const EPISODES_AT_MS = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map((n) =>
  4000 + 7000 * n
);
const EPISODE_MS = 5500;

const HOST = "jobs.example";
const PREFIX = "/routen/";
const random = seeded(SEED);
const history = new History();
const prefix = await freePrefix();
const deployment = new Deployment(prefix);
const durations = new Map();

const world = {
  control: () => {
    const nodes = deployment.cores.map((name) => deployment.control(name));
    const first = Math.floor(random() * nodes.length);
    return [...nodes.slice(first), ...nodes.slice(0, first)];
  },
  durationMs: (task) => {
    if (!durations.has(task)) {
      durations.set(task, 600 + Math.round(random() * 600));
    }
    return durations.get(task);
  },
  demandOf: () => ({ cpu: TASK_CPU, mem: TASK_MEM_MB }),
  onStart: (task, run, worker) => history.recordStart(task, run, worker),
  onEnd: (task, run, how, worker) => history.recordEnd(task, run, how, worker),
  onNoted: (task, run, _, counts, worker) =>
    history.recordNoted(task, run, counts, worker),
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

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r-routen",
    host: HOST,
    path_prefix: PREFIX,
    type: "unsafe",
    timeout_ms: 3000,
    target_latency_ms: 600,
    priority: 0,
    service: "routen",
    max_attempts: 3,
    slack_factor: 1.6,
  }],
  services: [
    {
      name: "routen",
      health_check_path: "/health",
      max_connections: 64,
      protocol: "h1",
      tls: false,
      enforce_capacity: true,
      standby: false,
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 262144,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
};

async function configure() {
  return await until(async () => {
    const [node] = world.control();
    const path = "/quetzalcove/Config.Replace";
    return (await call(node, "POST", path, { body: CONFIGURATION })).status ===
      200;
  }, 20000);
}

function episodeAt(ms) {
  return EPISODES_AT_MS.find((from) => ms >= from && ms < from + EPISODE_MS);
}

function busiestWorkers() {
  return [...platform.machines.values()].map(({ worker }) => worker)
    .sort((a, b) => b.running.size - a.running.size).slice(0, GREY_WORKERS);
}

/** Orders that the worker failed: a failed one is rejected with 503 and not carried out, or left without an answer. */
function makeGrey(worker) {
  let failed = 0;
  worker.fate = (path, body) => {
    if (path === "hold" || random() >= FAILED_SHARE) {
      return "answer";
    }
    failed += 1;
    const fate = failed % 2 === 0 ? "shed" : "hang";
    history.note(`fails ${path} ${body.task} run ${body.run_id}: ${fate}`);
    return fate;
  };
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
  if (!await configure()) {
    return "the configuration was not acknowledged";
  }
  await wait(4000);
  const agent = new Agent({ keepAlive: true });
  const states = new Map();
  const from = performance.now();
  let current;
  let grey = [];
  for (let n = 0; performance.now() - from < TRAFFIC_MS; n++) {
    const at = performance.now() - from;
    const episode = HAS_TROUBLE ? episodeAt(at) : undefined;
    if (episode !== current) {
      current = episode;
      grey.forEach((worker) => {
        history.note(`${worker.identity.id} is sound again`);
        worker.fate = () => "answer";
      });
      grey = episode === undefined ? [] : busiestWorkers();
      grey.forEach((worker) => {
        history.note(`${worker.identity.id} begins to fail orders`);
        makeGrey(worker);
      });
    }
    const id = (0x5c0e7a2100000000n + BigInt(n)).toString(16);
    void submit(id, agent, states);
    await wait(JOB_INTERVAL_MS);
  }
  await until(
    () => [...states.values()].every((state) => state === "completed"),
    20000,
  );
  agent.destroy();
  const open = [...states].filter(([, state]) => state !== "completed");
  open.forEach(([id, state]) => history.note(`job ${id} is ${state}`));
  if (!HAS_TROUBLE && open.length > 0) {
    return `${open.length} jobs have not completed`;
  }
  return undefined;
}

async function submit(id, agent, states) {
  const step = {
    count: 1 + Math.floor(random() * MAX_TASKS),
    cpu: TASK_CPU,
    mem_mb: TASK_MEM_MB,
    estimated_ms: 900,
  };
  const body = { spec: `text of ${id}`, steps: [step] };
  for (let attempt = 0; attempt < 5; attempt++) {
    const front = deployment.front(
      deployment.fronts[attempt % deployment.fronts.length],
    );
    const answer = await call(front, "POST", PREFIX + id, {
      body,
      host: HOST,
      agent,
      headers: { "x-deadline-ms": "3000" },
    });
    history.note(`job ${id} is answered ${answer.status}`);
    if (answer.status === 200) {
      states.set(id, "accepted");
      await follow(id, agent, states);
      return;
    }
    await wait(1000);
  }
}

async function follow(id, agent, states) {
  await until(async () => {
    await wait(400);
    const front = deployment.front(deployment.fronts[0]);
    const answer = await call(front, "GET", PREFIX + id, { host: HOST, agent });
    states.set(id, answer.body?.state ?? `answered ${answer.status}`);
    return states.get(id) === "completed";
  }, 40000);
}

const problem = await run().catch((error) => error.stack);
await deployment.stop();
await platform.stop();
const breaks = history.twice();
if (process.env.KEEP !== undefined) {
  process.stdout.write(`${deployment.folder}\n`);
} else {
  deployment.discard();
}
const result = problem !== undefined
  ? `could not run: ${problem}`
  : breaks.length > 0
  ? `TWICE is broken ${breaks.length} times`
  : "TWICE holds";
const summary = [
  `seed ${SEED}, trouble ${HAS_TROUBLE}: ${result}`,
  `${history.runs.length} runs`,
  ...breaks,
];
writeFileSync(
  new URL("record.txt", import.meta.url),
  [...summary, "", ...history.lines, ""].join("\n"),
);
process.stdout.write(`${summary.slice(0, 8).join("\n")}\n`);
process.exit(problem !== undefined ? 2 : breaks.length > 0 ? 1 : 0);
