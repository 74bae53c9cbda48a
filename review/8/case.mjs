// A task that lasts has no run for a quarter of a minute, while a sound worker is free for it.
import { Client } from "../lib-2/deployment.mjs";
import { until, wait } from "../lib-2/files.mjs";
import { HAS_TROUBLE, runCase } from "../lib-2/scene.mjs";

// `srv_grey`, how "errors", x 1.0 (a worker fails all that it starts): 6.5 s at most in fpw-bern.toml, 15 in 100 workers.
const GREY_MS = 6_500;
const WORKERS = 7;
const FAILS_AFTER_MS = 20;
const LASTING = "a3b1790e5f2c4d68";
const SHORT = "5c0e7a21d94b36f8";
// LOST: "from 6 s after its last run", "for 3 s", "if the 3 s and the 4 s before them are calm".
const AFTER_RUN_MS = 6_000;
const WAIT_MS = 3_000;
const CALM_MS = 4_000;

await runCase(
  import.meta.url,
  { workers: Array.from({ length: WORKERS }, () => ({ cpu: 64_000 })) },
  async (scene) => {
    const { deployment, history, record } = scene;
    const client = new Client(deployment, "einreichung");
    const grey = scene.machines[0].worker;
    const beginGrey = () => {
      record.add(grey.id, "fails all that it starts");
      grey.outcomeOf = () => ({ ms: FAILS_AFTER_MS, how: "failed" });
      setTimeout(() => {
        record.add(grey.id, "is sound again");
        grey.outcomeOf = () => undefined;
      }, GREY_MS);
    };
    if (HAS_TROUBLE) {
      beginGrey();
    }
    const greyEndsAt = performance.now() + GREY_MS;
    // A task a worker; they run until the job is cancelled.
    await client.submit(LASTING, {
      spec: JSON.stringify({ steps: [{ cpu: 5_000, mb: 1_000 }] }),
      steps: [{
        count: WORKERS,
        cpu: 5_000,
        mem_mb: 1_000,
        estimated_ms: 500,
        anti_affinity: 1,
        long_running: true,
        max_unavailable: 1,
      }],
    });
    // A task on each worker, for one second.
    await client.submit(SHORT, {
      spec: JSON.stringify({ steps: [{ ms: 1_000, cpu: 5_000, mb: 1_000 }] }),
      steps: [{
        count: WORKERS,
        cpu: 5_000,
        mem_mb: 1_000,
        estimated_ms: 1_000,
        anti_affinity: 1,
      }],
    });
    const isRunning = () =>
      [...grey.running.values()].find(({ task }) => task.startsWith(LASTING));
    await wait(greyEndsAt - performance.now());
    if (!await until(() => isRunning() !== undefined, 30_000)) {
      record.add("script", "the task did not run again");
      return 2;
    }
    await wait(3_000);
    // "The tasks ... may fail at any time."
    const { task } = isRunning();
    record.add("script", "the task fails once by its own fault", { task });
    grey.endIn(LASTING, 0, "failed");
    const failedAt = performance.now() + 50;
    await wait(50);
    const isBack = () =>
      history.tasks.get(task).some(({ how }) => how === undefined);
    await until(isBack, 40_000, 10);
    const withoutRunMs = Math.round(performance.now() - failedAt);
    const calmFrom = Math.max(greyEndsAt + CALM_MS, failedAt + AFTER_RUN_MS);
    const brokenMs = Math.round(performance.now() - calmFrom - WAIT_MS);
    const isBroken = brokenMs > 0;
    record.add("check", isBroken ? "LOST broken" : "LOST held", {
      task,
      withoutRunMs,
      overTheBoundMs: brokenMs,
      freeCpuOfSoundWorker: grey.cpu - grey.usedCpu,
      state: await client.state(LASTING),
    });
    return isBroken ? 1 : 0;
  },
);
