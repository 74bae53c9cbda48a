/**
 * Registry of scenarios. Each scenario is defined in its own module and listed here once.
 *
 * @module
 */
import { capacity } from "./capacity/capacity.ts";
import { commits } from "./commits/commits.ts";
import { live } from "./live/live.ts";
import { placement } from "./placement/scenario.ts";
import { ROUTING } from "./routing/mod.ts";
import { jobMemory } from "./scheduling/job_memory.ts";
import { LOOK_AHEAD } from "./scheduling/look_ahead.ts";
import { passCost } from "./scheduling/pass_cost.ts";
import type { Scenario } from "./scenario.ts";
import { scheduling } from "./scheduling/scenario.ts";
import { sweep } from "./sweep/scenario.ts";
import { WAVES } from "./waves/scenario.ts";

/** All scenarios, in the order in which `all` runs them. */
export const SCENARIOS: readonly Scenario[] = [
  commits,
  ...ROUTING,
  WAVES,
  placement,
  scheduling,
  ...LOOK_AHEAD,
  passCost,
  jobMemory,
  capacity,
  live,
  sweep,
];
