// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// A link to one server that can be cut: what is under way is held until the cut heals, and is lost if its sender gives
// the connection up before.
import { connect, createServer } from "node:net";

export class Proxy {
  constructor(listenHost, host, port) {
    Object.assign(this, { listenHost, host, port });
    this.isCut = false;
    this.pairs = new Set();
    this.server = createServer((socket) => this.#open(socket));
  }

  start() {
    return new Promise((resolve) =>
      this.server.listen(this.port, this.listenHost, resolve)
    );
  }

  stop() {
    this.pairs.forEach(({ client, target }) => {
      client.destroy();
      target.destroy();
    });
    this.server.close();
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    this.pairs.forEach((pair) => pair.flush());
  }

  #open(client) {
    const target = connect(this.port, this.host);
    client.setNoDelay(true);
    target.setNoDelay(true);
    const pair = { client, target, held: [], isClosed: false };
    this.pairs.add(pair);
    const pass = (to, chunk) => {
      if (this.isCut) {
        pair.held.push([to, chunk]);
      } else {
        to.write(chunk);
      }
    };
    pair.flush = () => {
      pair.held.splice(0).forEach(([to, chunk]) => to.write(chunk));
      if (pair.isClosed) {
        client.destroy();
        target.destroy();
        this.pairs.delete(pair);
      }
    };
    client.on("data", (chunk) => pass(target, chunk));
    target.on("data", (chunk) => pass(client, chunk));
    const close = (from) => {
      // What its sender has given up is lost.
      pair.held = pair.held.filter(([to]) => to === from);
      pair.isClosed = true;
      if (!this.isCut) {
        pair.flush();
      }
    };
    client.on("close", () => close(client));
    target.on("close", () => close(target));
    client.on("error", () => {});
    target.on("error", () => {});
  }
}
