// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// A stand-in of the platform's list of machines, after "Machines" of PROTOCOL.md.
import { createServer } from "node:http";
import { readBody } from "./http.mjs";

export class Cloud {
  // `machines` gives {machine_id, pool, state, zone, labels, capacity, id} of each machine; `order` carries one out.
  constructor({ host, port = 8621, record, machines, order }) {
    Object.assign(this, { host, port, record, machines });
    this.order = order ?? (() => ({ status: 409, reason: "busy" }));
    this.address = `${host}:${port}`;
    this.isSilent = false;
    this.fences = new Map();
    this.server = createServer(
      { keepAliveTimeout: 120_000 },
      (request, response) => void this.#serve(request, response),
    );
  }

  start() {
    return new Promise((resolve) =>
      this.server.listen(this.port, this.host, resolve)
    );
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async #serve(request, response) {
    const body = await readBody(request);
    if (this.isSilent) {
      return;
    }
    if (request.method === "GET") {
      answer(response, 200, {
        machines: this.machines(),
        next_page_token: null,
      });
      return;
    }
    const vm = body?.machine_id;
    const fence = Number(request.headers["x-fencing-token"] ?? 0);
    if (fence < (this.fences.get(vm) ?? 0)) {
      answer(response, 409, { reason: "fence" });
      return;
    }
    this.fences.set(vm, fence);
    const kind = (request.url ?? "").replace("/quetzalcove/", "");
    const { status, ...fields } = this.order(kind, body);
    this.record.add("platform", kind, {
      ...body,
      holder: request.headers["x-lease-holder"],
      fence,
      status,
      ...fields,
    });
    answer(response, status, fields);
  }
}

function answer(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
