// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// TCP proxy that can lose what flows in one direction, as a link that is cut one way does.
import { connect, createServer } from "node:net";

export class Proxy {
  /** Forwards connections from one address to another. */
  constructor(listen, target) {
    this.listen = listen;
    this.target = target;
    /** Whether bytes to the server, or to the client, are lost. Either hinders new connections. */
    this.losesToServer = false;
    this.losesToClient = false;
    this.pairs = new Set();
    this.server = createServer((client) => this.#accept(client));
  }

  async start() {
    const [host, port] = this.listen.split(":");
    await new Promise((resolve) =>
      this.server.listen(Number(port), host, resolve)
    );
  }

  async stop() {
    this.pairs.forEach(({ client, server }) => {
      client.destroy();
      server?.destroy();
    });
    await new Promise((resolve) => this.server.close(resolve));
  }

  #accept(client) {
    client.on("error", () => {});
    if (this.losesToServer || this.losesToClient) {
      // The handshake would get no answer: nothing is forwarded on this connection.
      const pair = { client };
      this.pairs.add(pair);
      client.resume();
      client.once("close", () => this.pairs.delete(pair));
      return;
    }
    const [host, port] = this.target.split(":");
    const server = connect({ host, port: Number(port), noDelay: true });
    client.setNoDelay(true);
    const pair = { client, server, hasLost: false };
    this.pairs.add(pair);
    server.on("error", () => client.destroy());
    // A stream that has lost bytes is broken; what follows is held back, as if it were sent again in vain.
    let lostToServer = false;
    let lostToClient = false;
    client.on("data", (chunk) => {
      lostToServer ||= this.losesToServer;
      if (!lostToServer) {
        server.write(chunk);
      }
    });
    server.on("data", (chunk) => {
      lostToClient ||= this.losesToClient;
      if (!lostToClient) {
        client.write(chunk);
      }
    });
    client.once("close", () => {
      if (!this.losesToServer) {
        server.destroy();
      }
      this.pairs.delete(pair);
    });
    server.once("close", () => {
      if (!this.losesToClient) {
        client.destroy();
      }
    });
  }
}
