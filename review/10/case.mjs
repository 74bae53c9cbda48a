// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Upkeep that one leader has begun and another one orders again, on machines that meanwhile run tasks that last.
import { Client } from "../lib-2/deployment.mjs";
import { call } from "../lib-2/http.mjs";
import { until, wait } from "../lib-2/files.mjs";
import { HAS_TROUBLE, runCase } from "../lib-2/scene.mjs";
import { STARTUP_MS } from "../lib-2/worker.mjs";

// `cloud_down`: 5 s (`fleetbench kinds`: "for_s: how long (5)").
const CLOUD_DOWN_MS = 5_000;
const NOTICE_MS = 4_500;
const MAINTENANCE_MS = 2_000;
const JOB = "a3b1790e5f2c4d68";
const TASKS = 6;
const MAX_UNAVAILABLE = 1;

let breaks = 0;

// Carries out an order of the platform; checks AVAIL for what it ends.
function carryOut(scene, kind, { machine_id: vm, wave }) {
  const machine = scene.machines.find((each) => each.vm === vm);
  if (machine === undefined || kind !== "machine-upkeep") {
    return { status: 400 };
  }
  if (machine.maintained === wave) {
    return { status: 200 };
  }
  if (machine.state !== "up") {
    return { status: 409, reason: "busy" };
  }
  machine.maintained = wave;
  machine.state = "upkeep";
  const { worker } = machine;
  const ended = [...worker.running.values()].map(({ task }) => task);
  for (const task of ended) {
    checkAvail(scene, task, worker);
    scene.byOrder.add(task);
  }
  void worker.crash();
  setTimeout(() => void scene.boot(machine), MAINTENANCE_MS);
  return { status: 200 };
}

function isWorking({ how, startedAt }) {
  return how === undefined && performance.now() - startedAt >= STARTUP_MS;
}

function checkAvail(scene, task, worker) {
  const { record, history } = scene;
  const away = [];
  for (let index = 0; index < TASKS; index++) {
    const other = `${JOB}.0.0.${index}`;
    const runs = history.tasks.get(other) ?? [];
    const isAtWork = runs.some(isWorking);
    const lastEnd = Math.max(...runs.map(({ endedAt }) => endedAt ?? 0));
    const isLong = performance.now() - lastEnd > NOTICE_MS;
    if (
      other !== task && !isAtWork && (scene.byOrder.has(other) || isLong)
    ) {
      away.push(other);
    }
  }
  const isBroken = worker.state !== "draining" &&
    (history.tasks.get(task) ?? []).some(isWorking) &&
    away.length >= MAX_UNAVAILABLE;
  breaks += Number(isBroken);
  record.add("check", isBroken ? "AVAIL broken" : "AVAIL held", {
    task,
    worker: worker.id,
    away,
  });
}

await runCase(
  import.meta.url,
  {
    workers: Array.from({ length: 6 }, () => ({ cpu: 16_000 })),
    order: carryOut,
  },
  async (scene) => {
    const { deployment, cloud, record } = scene;
    // Tasks that an order has ended; they are away until they are at work again.
    scene.byOrder = new Set();
    const client = new Client(deployment, "einreichung");
    const leader = await deployment.leader();
    if (leader === undefined) {
      return 2;
    }
    if (HAS_TROUBLE) {
      record.add("platform", "silent");
      cloud.isSilent = true;
      setTimeout(() => {
        record.add("platform", "answers again");
        cloud.isSilent = false;
      }, CLOUD_DOWN_MS);
    }
    const sent = await call({
      address: deployment.controlAddresses()[0],
      method: "POST",
      path: "/quetzalcove/wave-start",
      body: {
        wave: 1,
        machines: scene.machines.map(({ vm }) => vm),
        duration_s: 18,
        cap: 2,
      },
      timeoutMs: 2_000,
    });
    record.add("operator", "wave-start", { status: sent?.status });
    await wait(500);
    if (HAS_TROUBLE) {
      deployment.kill(leader);
    }
    const status = await client.submit(JOB, {
      spec: JSON.stringify({ steps: [{ cpu: 10_000, mb: 1_000 }] }),
      steps: [{
        count: TASKS,
        cpu: 10_000,
        mem_mb: 1_000,
        estimated_ms: 500,
        anti_affinity: 1,
        long_running: true,
        max_unavailable: MAX_UNAVAILABLE,
      }],
    });
    if (status !== 200) {
      return 2;
    }
    const isCompleted = await until(
      async () => {
        const answer = await call({
          address: deployment.controlAddresses()[1],
          method: "GET",
          path: "/quetzalcove/wave-get/1",
        });
        return answer?.body?.state === "completed";
      },
      45_000,
      500,
    );
    record.add("operator", "wave-get", { completed: isCompleted });
    record.add("check", "AVAIL", { breaks });
    return breaks > 0 ? 1 : isCompleted ? 0 : 2;
  },
);
