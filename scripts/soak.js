// Runs the fault soak test of the platform program: npm run soak -- --seeds N --seed FIRST --seconds S --entries N --at-once N --schedule any|rolling|overload
import { parseArgs } from "node:util";
import { runLongTest } from "./long_test.js";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "50" },
    seed: { type: "string", default: String(Date.now() % 1_000_000) },
    seconds: { type: "string", default: "20" },
    entries: { type: "string", default: "3" },
    "at-once": { type: "string", default: "2" },
    schedule: { type: "string", default: "any" },
  },
});
runLongTest("vitest.soak.config.ts", {
  QUETZALCOVE_SOAK: JSON.stringify({
    seeds: Number(values.seeds),
    first: Number(values.seed),
    lengthMs: 1_000 * Number(values.seconds),
    entries: Number(values.entries),
    atOnce: Number(values["at-once"]),
    schedule: values.schedule,
  }),
});
