// More ends than one listing holds: what a worker's tasks end with while the processes of the core are killed and back.
import { Client } from "../lib-2/deployment.mjs";
import { until, wait } from "../lib-2/files.mjs";
import { HAS_TROUBLE, runCase } from "../lib-2/scene.mjs";

// "All processes of the core may be killed at the same moment and be back within a second" (DEPLOY.md).
const BACK_MS = 800;

// Jobs of small tasks on one worker of 64 cores: a few tasks, others that go on, and many that end just before the few.
// The data of the few lies in a rack whose worker comes later.
const FEW = { id: "a3b1790e5f2c4d68", count: 100, ms: 30_000, rack: "r1-2" };
const LONG = Array.from({ length: 4 }, (_, i) => ({
  id: `5c0e7a21d94b36f${i}`,
  count: 1_000,
  ms: 60_000,
}));
const MANY = Array.from({ length: 4 }, (_, i) => ({
  id: `77d20c4be819a5f${i}`,
  count: 1_000,
  ms: 12_000 - 1_000 * i,
}));
const NEW_RACK = "r1-2";
const JOBS = [FEW, ...LONG, ...MANY];
const TOTAL = JOBS.reduce((sum, { count }) => sum + count, 0);
const SUBMIT_INTERVAL_MS = 1_000;

await runCase(
  import.meta.url,
  {
    workers: [{}, { labels: ["a", NEW_RACK], isLater: true }],
    // The runs of the others are counted only.
    isRecorded: (task) => task.startsWith(FEW.id),
  },
  async (scene) => {
    const { deployment, history, record } = scene;
    const client = new Client(deployment, "einreichung");
    const begin = performance.now();
    for (const [i, { id, count, ms, rack }] of JOBS.entries()) {
      await wait(begin + i * SUBMIT_INTERVAL_MS - performance.now());
      const status = await client.submit(id, {
        spec: JSON.stringify({ steps: [{ ms, cpu: 5, mb: 20 }] }),
        steps: [{
          count,
          cpu: 5,
          mem_mb: 20,
          estimated_ms: ms,
          ...(rack !== undefined && { affinity: rack }),
        }],
      });
      if (status !== 200) {
        return 2;
      }
    }
    await scene.boot(scene.machines[1]);
    if (!await until(() => history.countOf("done") > 0, 30_000, 5)) {
      return 2;
    }
    record.add("script", "first end", {
      starts: history.starts,
      of: TOTAL,
      running: scene.workers.map(({ running }) => running.size),
    });
    // The few end when the many have ended, and before a leader is there again.
    scene.workers.forEach((worker) => worker.endIn(FEW.id, 1_000));
    if (HAS_TROUBLE) {
      deployment.replicas.forEach((name) => deployment.kill(name, BACK_MS));
    }
    const isCompleted = await until(
      async () => {
        record.add("script", "runs", {
          starts: history.starts,
          done: history.countOf("done"),
        });
        const states = await Promise.all(
          [FEW, ...MANY].map(({ id }) => client.state(id)),
        );
        return states.every((state) => state === "completed");
      },
      20_000,
      500,
    );
    record.add("client", "state", { completed: isCompleted });
    await wait(2_000);
    const breaks = history.breaksOfTwice();
    record.add("check", "TWICE", breaks);
    if (breaks.startsAfterDone + breaks.overlaps > 0) {
      return 1;
    }
    return isCompleted ? 0 : 2;
  },
);
