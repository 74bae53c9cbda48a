import { expect, it } from "vitest";
import {
  coreCap,
  customer,
  newSharedStore,
  passOver,
  placeWaiting,
  submitFor,
  workers,
} from "../../core/test/scheduling_customers_fixture.ts";
import type { LogFields } from "../src/observe/log.ts";
import { logCustomerWaits } from "../src/scheduler/customer_wait_log.ts";
import { QUIET_LOG } from "./scheduler_fixture.ts";

// Guards against operators who see a backlog and free cores, and no reason.
it("the log of waiting customers tells caps from shares, and leaves out what waits for capacity", () => {
  const store = newSharedStore(
    workers(2),
    customer("capped", { cap: coreCap(1) }),
    customer("hot"),
    customer("usual"),
  );
  submitFor(store, "hot", "first", { taskCount: 7 });
  submitFor(store, "capped", "held", { taskCount: 3 });
  placeWaiting(store);
  submitFor(store, "hot", "more", { taskCount: 2 }, 1);
  submitFor(store, "usual", "late", { taskCount: 1 }, 1);
  const lines: [string, LogFields | undefined][] = [];
  logCustomerWaits(passOver(store).waits, {
    ...QUIET_LOG,
    info: (event, fields) => {
      lines.push([event, fields]);
    },
  });
  expect(lines).toMatchInlineSnapshot(`
    [
      [
        "customer.waiting",
        {
          "customer": "capped",
          "pool": "intake",
          "reason": "cap",
          "steps": 1,
          "tasks": 2,
        },
      ],
      [
        "customer.waiting",
        {
          "customer": "hot",
          "pool": "intake",
          "reason": "share",
          "steps": 1,
          "tasks": 2,
        },
      ],
    ]
  `);
});
