/**
 * An admin API on the loopback address, on top of the real state machine. It can drop answers and fail calls.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  apply,
  type Attempt,
  type Command,
  emptyState,
  type Fault,
  fault,
  type State,
  statusOf,
} from "@quetzalcove/core";

/** How a call fails: dropped answer, invalid JSON or a fault. A call whose answer is lost is still executed. */
export type InjectedFailure = "drop answer" | "invalid JSON" | Fault;

export class FakeAdmin {
  readonly state: State = emptyState();
  /** Every call received, for example `POST /v1/configuration`. */
  readonly calls: string[] = [];
  /** Failures of the next calls, by call. */
  readonly injectedFailures = new Map<string, InjectedFailure[]>();
  /** Fixed answers for calls that the state machine does not handle. */
  readonly answers = new Map<string, unknown>();
  /** Entries that have not yet reached the newest revision. */
  waiting: string[] = [];
  /** Whether entries stop catching up and VMs stop draining. */
  stuck = false;
  now = 0;
  started = false;
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#serve(request).then(({ status, body }) => {
        const failure = this.#nextFailure(request);
        if (failure === "drop answer") {
          response.destroy();
        } else {
          response.writeHead(status, { "content-type": "application/json" });
          response.end(failure === "invalid JSON" ? "{" : JSON.stringify(body));
        }
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((done) =>
      this.#server.listen(0, "127.0.0.1", done)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((done) => this.#server.close(done));
  }

  #nextFailure(request: IncomingMessage): InjectedFailure | undefined {
    return this.injectedFailures.get(nameOf(request))?.shift();
  }

  async #serve(request: IncomingMessage): Promise<Answer> {
    const name = nameOf(request);
    this.calls.push(name);
    const failure = this.injectedFailures.get(name)?.[0];
    if (typeof failure === "object") {
      return problemAnswer(failure);
    }
    const body = request.method === "POST" ? await readJson(request) : {};
    const query = new URL(request.url ?? "", "http://x").searchParams;
    return this.#answer(name, { body, query });
  }

  #answer(
    name: string,
    { body, query }: { body: Json; query: URLSearchParams },
  ): Answer {
    const at = this.now;
    const vm = /^POST \/v1\/vms\/([^/]+)\/(drain|resume)$/.exec(name);
    if (vm !== null) {
      return this.#changeVm(vm[1] ?? "", vm[2] === "drain");
    }
    switch (name) {
      case "POST /v1/init":
        return this.#init();
      case "GET /v1/configuration":
        return ok({ ...this.state });
      case "POST /v1/configuration":
        return this.#apply({ kind: "configure", ...body, at } as Command);
      case "GET /v1/force":
        return this.#revisionInForce(Number(query.get("revision")));
      case "GET /v1/vms":
        return this.#listVms();
      case "GET /v1/status":
        return ok(this.#status());
      case "GET /v1/requests":
        return ok({
          attempts: this.#attempts()
            .filter((attempt) => attempt.phase === query.get("phase")),
        });
      case "POST /v1/requests/settle":
        return this.#apply({ kind: "ledger.settle", ...body, at } as Command);
      default:
        return this.answers.has(name)
          ? ok(this.answers.get(name))
          : problemAnswer(fault("not_found", `No resource ${name}`));
    }
  }

  #init(): Answer {
    if (this.started) {
      return problemAnswer(fault("conflict", "The cluster was started before"));
    }
    this.started = true;
    return ok({});
  }

  #apply(command: Command): Answer {
    const result = apply(this.state, command);
    return result.ok ? ok(result.val) : problemAnswer(result.val);
  }

  #changeVm(vm: string, drain: boolean): Answer {
    const from = this.state.vms[vm]?.phase ?? "serving";
    return this.#apply({
      kind: "vm.phase",
      vm,
      from: drain ? "serving" : from,
      to: drain ? "draining" : "serving",
      reason: "operator",
      at: this.now,
    });
  }

  /** Each call brings one waiting entry up to date, unless `stuck` is set. */
  #revisionInForce(revision: number): Answer {
    const waiting = [...this.waiting];
    if (!this.stuck) {
      this.waiting.shift();
    }
    return ok({ revision, inForce: waiting.length === 0, waiting });
  }

  /** Each call lets one draining VM finish, unless `stuck` is set. */
  #listVms(): Answer {
    const answer = ok({ vms: this.#vmViews(), unknownTargets: [] });
    const draining = Object.values(this.state.vms).find((vm) =>
      vm.phase === "draining"
    );
    if (draining !== undefined && !this.stuck) {
      draining.phase = "drained";
    }
    return answer;
  }

  #vmViews(): unknown[] {
    const { inventory, vms } = this.state;
    const zones = new Map(inventory.racks.map((r) => [r.name, r.zone]));
    return inventory.vms.map((vm) => ({
      ...vms[vm.name],
      zone: zones.get(vm.rack),
      rack: vm.rack,
      desiredPool: vm.pool,
      announced: false,
      inFlight: 0,
      targets: [],
    }));
  }

  #attempts(): Attempt[] {
    const { open, closed } = this.state.ledger;
    return [...Object.values(open), ...Object.values(closed)];
  }

  #status(): unknown {
    const { version, revision } = this.state;
    const attempts = this.#attempts();
    return {
      cluster: "accra",
      entry: "entry-a1",
      zone: "accra-a",
      version,
      revision,
      inForceRevision: revision,
      leader: "entry-b1",
      term: 3,
      entries: [
        entry("entry-b1", { leaseMs: 2_150, revision }),
        entry("entry-a1", { leaseMs: 2_400, revision }),
        entry("entry-c1", { leaseMs: -61_000, revision: 0 }),
      ],
      counts: {
        vms: this.state.inventory.vms.length,
        targets: 0,
        attemptsRunning: 0,
        attemptsUnknown: attempts.filter((a) => a.phase === "unknown").length,
      },
      requests: { done: 120, "not run": 3 },
    };
  }
}

interface Answer {
  status: number;
  body: unknown;
}

type Json = Record<string, unknown>;

function nameOf(request: IncomingMessage): string {
  const { pathname } = new URL(request.url ?? "", "http://x");
  return `${request.method} ${decodeURIComponent(pathname)}`;
}

async function readJson(request: IncomingMessage): Promise<Json> {
  let text = "";
  for await (const part of request) {
    text += part;
  }
  return JSON.parse(text) as Json;
}

function entry(
  name: string,
  { leaseMs, revision }: { leaseMs: number; revision: number },
): unknown {
  const zone = name.replace(/entry-(.)\d/, "accra-$1");
  return { entry: name, zone, incarnation: 1, leaseMs, revision };
}

function ok(body: unknown): Answer {
  return { status: 200, body };
}

function problemAnswer(cause: Fault): Answer {
  const status = statusOf(cause.kind);
  const body = {
    type: `urn:quetzalcove:fault:${cause.kind}`,
    title: cause.kind,
    status,
    detail: cause.message,
    fault: cause,
  };
  return { status, body };
}
