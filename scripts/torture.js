// Runs the long random-fault test: npm run torture -- --minutes N --seed S
import { parseArgs } from "node:util";
import { runLongTest } from "./long_test.js";

const { values } = parseArgs({
  options: {
    minutes: { type: "string", default: "10" },
    seed: { type: "string", default: String(Date.now() % 1_000_000) },
  },
});
runLongTest("vitest.torture.config.ts", {
  QUETZALCOVE_TORTURE_MINUTES: values.minutes,
  QUETZALCOVE_TORTURE_SEED: values.seed,
});
