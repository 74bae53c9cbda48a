// Runs a test that takes as long as its options say, with a configuration of its own.
import { spawnSync } from "node:child_process";
import process from "node:process";

/** Runs the tests of a configuration; the options reach them through environment variables. */
export function runLongTest(config, variables) {
  const ending = spawnSync(
    process.execPath,
    ["node_modules/vitest/vitest.mjs", "run", "--config", config],
    { stdio: "inherit", env: { ...process.env, ...variables } },
  );
  process.exitCode = ending.status ?? 1;
}
