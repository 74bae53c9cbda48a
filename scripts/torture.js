// Runs the long test of random faults: npm run torture -- --minutes N --seed S
import { spawnSync } from "node:child_process";
import process from "node:process";
import { parseArgs } from "node:util";

const { values } = parseArgs({
  options: {
    minutes: { type: "string", default: "10" },
    seed: { type: "string", default: String(Date.now() % 1_000_000) },
  },
});
const ending = spawnSync(
  process.execPath,
  [
    "node_modules/vitest/vitest.mjs",
    "run",
    "--config",
    "vitest.torture.config.ts",
  ],
  {
    stdio: "inherit",
    env: {
      ...process.env,
      QUETZALCOVE_TORTURE_MINUTES: values.minutes,
      QUETZALCOVE_TORTURE_SEED: values.seed,
    },
  },
);
process.exitCode = ending.status ?? 1;
