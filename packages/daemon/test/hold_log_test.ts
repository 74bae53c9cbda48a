import { describe, expect, it } from "vitest";
import type { Hold } from "@quetzalcove/core";
import { HoldLog } from "../src/leader/hold_log.ts";
import type { Fields, Log } from "../src/observe/log.ts";
import { QUIET_LOG } from "./scheduler_fixture.ts";

/** A log that keeps its events. */
function recorded(): { log: Log; events: [string, Fields | undefined][] } {
  const events: [string, Fields | undefined][] = [];
  const keep = (event: string, fields?: Fields): void => {
    events.push([event, fields]);
  };
  return { log: { ...QUIET_LOG, info: keep, warn: keep }, events };
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

describe("the log of holds", () => {
  it("says once why a stop waits, and for how long it did", () => {
    const { log, events } = recorded();
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

  it("tells two reasons of one VM apart", () => {
    const { log, events } = recorded();
    const holds = new HoldLog(log);
    holds.update([capacityHold("vm-7", 8)], 0);
    holds.update([{ rule: "view", vm: "vm-7", message: "not in force" }], 50);
    expect(events.map(([event, fields]) => [event, fields?.["rule"]])).toEqual([
      ["stop.held", "capacity"],
      ["stop.held", "view"],
      ["stop.released", "capacity"],
    ]);
  });

  it("leaves out holds that concern no VM", () => {
    const { log, events } = recorded();
    new HoldLog(log).update([{ rule: "disabled", message: "off" }], 0);
    expect(events).toEqual([]);
  });

  it("is bounded when a whole fleet is held at once", () => {
    const { log, events } = recorded();
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
