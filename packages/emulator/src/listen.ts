/**
 * Starts a server on an address of the form `127.0.0.1:9000`.
 *
 * @module
 */
import type { Server } from "node:net";

/** Resolves once the server accepts connections. */
export function listenAt(server: Server, address: string): Promise<void> {
  const colon = address.lastIndexOf(":");
  const options = {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options, resolve);
  });
}
