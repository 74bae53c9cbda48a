import { describe, expect, it } from "vitest";
import type { Hold } from "@quetzalcove/core";
import { HoldLog } from "../src/leader/hold_log.ts";
import type { Log, LogFields } from "../src/observe/log.ts";
import { QUIET_LOG } from "./scheduler_fixture.ts";

/** A log, and the events that are written to it. */
function recordingLog(): {
  log: Log;
  events: [string, LogFields | undefined][];
} {
  const events: [string, LogFields | undefined][] = [];
  const record = (event: string, fields?: LogFields): void => {
    events.push([event, fields]);
  };
  return { log: { ...QUIET_LOG, info: record, warn: record }, events };
}

function capacityHold(vm: string, figure: number): Hold {
  return {
    rule: "capacity",
    vm,
    service: "intake",
    figure,
    limit: 12,
    message: `VM "${vm}" is needed`,
  };
}

describe("HoldLog", () => {
  it("logs a hold once, and its duration when it ends", () => {
    const { log, events } = recordingLog();
    const holds = new HoldLog(log);
    holds.update([capacityHold("vm-7", 8)], 1_000);
    holds.update([capacityHold("vm-7", 9)], 1_500);
    holds.update([], 12_460);
    expect(events).toMatchInlineSnapshot(`
      [
        [
          "stop.held",
          {
            "figure": 8,
            "limit": 12,
            "rule": "capacity",
            "service": "intake",
            "vm": "vm-7",
          },
        ],
        [
          "stop.released",
          {
            "heldMs": 11460,
            "rule": "capacity",
            "vm": "vm-7",
          },
        ],
      ]
    `);
  });

  it("logs holds of one VM by different rules separately", () => {
    const { log, events } = recordingLog();
    const holds = new HoldLog(log);
    holds.update([capacityHold("vm-7", 8)], 0);
    holds.update([{ rule: "view", vm: "vm-7", message: "not in force" }], 50);
    expect(events.map(([event, fields]) => [event, fields?.["rule"]])).toEqual([
      ["stop.held", "capacity"],
      ["stop.held", "view"],
      ["stop.released", "capacity"],
    ]);
  });

  it("ignores holds that concern no VM", () => {
    const { log, events } = recordingLog();
    new HoldLog(log).update([{ rule: "disabled", message: "off" }], 0);
    expect(events).toEqual([]);
  });

  it("limits the number of lines when the whole fleet is held at once", () => {
    const { log, events } = recordingLog();
    const holds = new HoldLog(log);
    const fleet = Array.from(
      { length: 1_500 },
      (_, i) => capacityHold(`vm-${i}`, 8),
    );
    holds.update(fleet, 0);
    expect(events.length).toBeLessThan(50);
    expect(events.at(-1)).toEqual(["stop.omitted", { lines: 1_468 }]);
  });
});
