// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Case 3: a worker that leaves is cut off one way while it announces its end, so that its announcement gets no answer.
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import process from "node:process";
import { call, seeded, until, wait } from "../lib/calls.mjs";
import { Deployment, freePrefix } from "../lib/deployment.mjs";
import { History } from "../lib/history.mjs";
import { Platform } from "../lib/platform.mjs";
import { Proxy } from "../lib/proxy.mjs";
import { Worker } from "../lib/worker.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const random = seeded(Number(process.env.SEED ?? 1));

const WORKERS = 8;
const CPU = 64000;
const MEM_MB = 262144;
const JOBS = 6;
const TASKS = 5;
const TASK_CPU = 5300;
const TASK_MEM_MB = 9400;
const DRAIN_MS = 2000;
/** The worker serves on for a little after its drain time. */
const LINGER_MS = 1500;
const CUT_MS = 5000;
const CUT_BEFORE_DEREGISTER_MS = 500;
/** A worker whose announcement gets no answer ends some seconds later. */
const UNANSWERED_END_MS = 4000;

const HOST = "jobs.example";
const PREFIX = "/archive/";
const history = new History();
const prefix = await freePrefix();
const deployment = new Deployment(prefix);
/** Proxies between a worker and the nodes, by the worker's machine. */
const links = new Map();

const world = {
  durationMs: () => Infinity,
  demandOf: () => ({ cpu: TASK_CPU, mem: TASK_MEM_MB }),
  onStart: (task, run, worker) => history.recordStart(task, run, worker),
  onEnd: (task, run, how, worker) => history.recordEnd(task, run, how, worker),
  onNoted: (task, run, _, counts, worker) =>
    history.recordNoted(task, run, counts, worker),
};

/** Starts the proxies of a machine: one to its worker, and one from it to each node. */
async function link(machine, index) {
  const toWorker = new Proxy(machine.address, `${prefix}.5.${index}:8080`);
  const toNodes = deployment.cores.map((name, i) =>
    new Proxy(`${prefix}.6.${index * 10 + i}:8623`, deployment.control(name))
  );
  await Promise.all([toWorker, ...toNodes].map((proxy) => proxy.start()));
  links.set(machine.id, { toWorker, toNodes });
}

/** Loses what the nodes send to a machine; what its worker sends arrives. */
function cut(machine, isCut) {
  const { toWorker, toNodes } = links.get(machine);
  toWorker.losesToServer = isCut;
  toNodes.forEach((proxy) => proxy.losesToClient = isCut);
}

const platform = new Platform(deployment.platform, async (machine) => {
  const index = Number(machine.id.split("-")[1]);
  const { toNodes } = links.get(machine.id);
  const worker = new Worker({
    id: `i-${machine.id}-${machine.lives}`,
    machine: machine.id,
    service: machine.pool,
    address: machine.address,
    listen: `${prefix}.5.${index}:8080`,
    cpu: machine.cpu,
    memMb: machine.memMb,
    labels: machine.labels,
    maxHoldMs: deployment.bounds.max_hold_ms,
  }, {
    ...world,
    // Each node by the proxy of this machine.
    viaProxy: (address) => {
      const node = deployment.cores.findIndex((name) =>
        deployment.control(name) === address
      );
      return toNodes[node]?.listen ?? address;
    },
    control: () => {
      const nodes = toNodes.map((proxy) => proxy.listen);
      const first = Math.floor(random() * nodes.length);
      return [...nodes.slice(first), ...nodes.slice(0, first)];
    },
  });
  await worker.start();
  return worker;
});

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r-archive",
    host: HOST,
    path_prefix: PREFIX,
    type: "unsafe",
    timeout_ms: 3000,
    target_latency_ms: 2500,
    priority: 0,
    service: "routen",
    max_attempts: 4,
    slack_factor: 2.2,
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

async function run() {
  await platform.start();
  deployment.startAll();
  for (let i = 1; i <= WORKERS; i++) {
    const machine = {
      id: `m-${i}`,
      pool: "routen",
      address: `${prefix}.4.${i}:8080`,
      cpu: CPU,
      memMb: MEM_MB,
      labels: ["a", `r1-${Math.ceil(i / 4)}`],
    };
    await link(machine, i);
    await platform.add(machine);
  }
  const isConfigured = await until(async () => {
    const node = deployment.control(deployment.cores[0]);
    const path = "/quetzalcove/Config.Replace";
    const answer = await call(node, "POST", path, { body: CONFIGURATION });
    return answer.status === 200;
  }, 20000);
  if (!isConfigured) {
    return "the configuration was not acknowledged";
  }
  await wait(4000);
  await submitJobs();
  const areAtWork = await until(
    () =>
      [...platform.machines.values()].reduce(
        (sum, { worker }) => sum + worker.running.size,
        0,
      ) === JOBS * TASKS,
    15000,
  );
  if (!areAtWork) {
    return "the tasks did not start";
  }
  await wait(3000);
  const leaver = [...platform.machines.values()]
    .sort((a, b) => b.worker.running.size - a.worker.running.size)[0];
  await leave(leaver);
  await wait(6000);
  return undefined;
}

async function submitJobs() {
  const agent = new Agent({ keepAlive: true });
  for (let n = 0; n < JOBS; n++) {
    const id = (0x5c0e7a2100000000n + BigInt(n)).toString(16);
    const step = {
      count: TASKS,
      cpu: TASK_CPU,
      mem_mb: TASK_MEM_MB,
      estimated_ms: 500,
      anti_affinity: 1,
      long_running: true,
      max_unavailable: 1,
    };
    await until(async () => {
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
  agent.destroy();
}

/** The worker of a machine drains, announces its end and ends; its machine is gone for good. */
async function leave(machine) {
  const { worker } = machine;
  const name = worker.identity.id;
  worker.state = "draining";
  history.note(`${name} drains, with ${worker.running.size} runs`);
  while (!await worker.beat()) {
    history.note(`${name}: its report is not acknowledged yet`);
  }
  history.note(`${name}: draining is acknowledged`);
  await wait(DRAIN_MS + LINGER_MS - CUT_BEFORE_DEREGISTER_MS);
  // Its periodic report and one more at once leave two open connections, so that a report that hangs holds up no other.
  await Promise.all([worker.beat(), worker.beat()]);
  if (HAS_TROUBLE) {
    history.note(`what the nodes send to ${name} is lost from now on`);
    cut(machine.id, true);
    setTimeout(() => {
      history.note(`the link to ${name} is sound again`);
      cut(machine.id, false);
    }, CUT_MS);
  }
  await wait(CUT_BEFORE_DEREGISTER_MS);
  history.note(`${name} announces its end`);
  const isAcknowledged = await Promise.race([
    worker.deregister(),
    wait(UNANSWERED_END_MS).then(() => false),
  ]);
  history.note(
    `${name} ends; its announcement was ${
      isAcknowledged ? "acknowledged" : "not acknowledged"
    }`,
  );
  platform.machines.delete(machine.id);
  await worker.end();
}

const problem = await run().catch((error) => error.stack);
await deployment.stop();
await platform.stop();
await Promise.all(
  [...links.values()].flatMap(({ toWorker, toNodes }) =>
    [toWorker, ...toNodes].map((proxy) => proxy.stop())
  ),
);
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
  `trouble ${HAS_TROUBLE}: ${result}`,
  `${history.runs.length} runs`,
  ...breaks,
];
writeFileSync(
  new URL("record.txt", import.meta.url),
  [...summary, "", ...history.lines, ""].join("\n"),
);
process.stdout.write(`${summary.slice(0, 8).join("\n")}\n`);
process.exit(problem !== undefined ? 2 : breaks.length > 0 ? 1 : 0);
