/**
 * A test configuration with two services, a fleet for it, and requests to the services.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Inventory, Rules } from "@quetzalcove/core";
import {
  Behaviour,
  DIGEST_HEADER,
  digestOf,
  Fleet,
  type Run,
} from "@quetzalcove/emulator";
import { request } from "undici";
import { networkPrefix, TARGET_PORT } from "./cluster.ts";

/** An inventory whose VMs alternate between two pools, in one rack per zone of three zones. */
export function testInventory(vms: number): Inventory {
  const zones = ["zone-a", "zone-b", "zone-c"];
  const racks = zones.map((zone, index) => ({ name: `rack-${index}`, zone }));
  return Inventory.parse({
    zones: zones.map((name) => ({ name, region: "region" })),
    racks,
    pools: [{ name: "intake" }, { name: "charts" }],
    vms: Array.from({ length: vms }, (_, index) => ({
      name: `vm-${index + 1}`,
      rack: racks[index % racks.length]?.name,
      pool: index % 2 === 0 ? "intake" : "charts",
      cores: 32,
      memoryGb: 128,
    })),
  });
}

/** Rules with one service per pool; `changes` overrides the rules of both services. */
export function testRules(changes: Record<string, unknown> = {}): Rules {
  return Rules.parse({
    services: [
      { name: "intake", pool: "intake", deadlineMs: 3_000, ...changes },
      { name: "charts", pool: "charts", deadlineMs: 3_000, ...changes },
    ],
  });
}

/** An emulated fleet for a configuration; each run is appended to `runs`. */
export function testFleet(
  configuration: { inventory: Inventory; rules: Rules },
  entries: readonly string[],
  runs: Run[],
): Fleet {
  return new Fleet({
    ...configuration,
    entries,
    network: networkPrefix("targets"),
    port: TARGET_PORT,
    defaultBehaviour: Behaviour.parse({ runMs: 10 }),
    record: (run) => runs.push(run),
    startedAt: Date.now(),
  });
}

/** An answer as received by a caller. */
export interface ReceivedAnswer {
  status: number;
  outcome: string;
  /** Whether the answer is complete and belongs to this request. */
  own: boolean;
  replayed: boolean;
  retryAfter: boolean;
  /** The fault by which the system refused or failed the request; undefined for the answer of a target. */
  fault?: string;
}

/** Options of a request. */
export interface CallOptions {
  entry: string;
  service: string;
  path: string;
  key?: string;
  body?: string;
  emulate?: Partial<Behaviour>;
  deadlineMs?: number;
  /** Time after which the caller closes the connection. */
  timeoutMs?: number;
}

/** Sends a request; undefined if the connection was lost before the answer was complete. */
export async function call(
  options: CallOptions,
): Promise<ReceivedAnswer | undefined> {
  const isSubmission = options.key !== undefined || options.body !== undefined;
  const body = Buffer.from(isSubmission ? options.body ?? options.path : "");
  const headers: Record<string, string> = {};
  if (options.key !== undefined) {
    headers["idempotency-key"] = options.key;
  }
  if (options.emulate !== undefined) {
    headers["x-emulate"] = JSON.stringify(options.emulate);
  }
  if (options.deadlineMs !== undefined) {
    headers["x-quetzalcove-deadline-ms"] = String(options.deadlineMs);
  }
  try {
    const answer = await request(
      `http://${options.entry}/${options.service}${options.path}`,
      {
        method: isSubmission ? "POST" : "GET",
        body: isSubmission ? body : null,
        headers,
        ...(options.timeoutMs !== undefined &&
          { signal: AbortSignal.timeout(options.timeoutMs) }),
      },
    );
    const text = await answer.body.text();
    const digest = String(answer.headers[DIGEST_HEADER]);
    return {
      status: answer.statusCode,
      outcome: String(answer.headers["x-quetzalcove-outcome"] ?? "none"),
      own: digest === digestOf(options.path, body) && text.includes(digest),
      replayed: answer.headers["x-quetzalcove-replayed"] === "true",
      retryAfter: answer.headers["retry-after"] !== undefined,
      ...(answer.headers["content-type"] === "application/problem+json" &&
        { fault: faultOf(text) }),
    };
  } catch {
    return undefined;
  }
}

/** Kind and message of the fault in a problem document. */
function faultOf(text: string): string {
  const { fault } = JSON.parse(text) as {
    fault: { kind: string; message: string };
  };
  return `${fault.kind}: ${fault.message}`;
}

/** Number of runs with an idempotency key. */
export function runCountOf(runs: readonly Run[], key: string): number {
  return runs.filter((run) => run.key === key).length;
}
