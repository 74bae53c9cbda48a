// Runs a test whose duration is set by options, with a separate Vitest configuration.
import { spawnSync } from "node:child_process";
import process from "node:process";

/** Runs the tests of a Vitest configuration; options are passed to them as environment variables. */
export function runLongTest(config, environment) {
  const result = spawnSync(
    process.execPath,
    ["node_modules/vitest/vitest.mjs", "run", "--config", config],
    { stdio: "inherit", env: { ...process.env, ...environment } },
  );
  process.exitCode = result.status ?? 1;
}
