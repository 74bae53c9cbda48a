/**
 * A crowd of clients that misbehave: they read no answers, hold their connections, and connect again when they are closed.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { wait } from "@quetzalcove/daemon/scheduler";

/** What each client of a crowd sends on a connection. */
export interface Script {
  head: string;
  /** Sent after the head, again and again. */
  piece?: Buffer;
  /** How often the piece is sent; without end unless given. */
  pieces?: number;
  /** Time between two pieces in milliseconds; they are sent at once unless given. */
  pauseMs?: number;
  /** Whether the connection is closed after the last piece, and opened anew. */
  leaves?: boolean;
}

export interface CrowdOptions {
  /** IP address and port. */
  address: string;
  connections: number;
  script: Script;
  durationMs: number;
}

const RECONNECT_DELAY_MS = 20;

/** Pieces are joined to writes of about this size. */
const WRITE_BYTES = 65_536;

/** Plays a crowd; resolves once all its connections are closed. */
export async function playCrowd(options: CrowdOptions): Promise<void> {
  const clients = Array.from(
    { length: options.connections },
    () => new Client(options),
  );
  await wait(options.durationMs);
  clients.forEach((client) => client.stop());
}

class Client {
  readonly #options: CrowdOptions;
  #socket: Socket | undefined;
  #isStopped = false;

  constructor(options: CrowdOptions) {
    this.#options = options;
    this.#connect();
  }

  stop(): void {
    this.#isStopped = true;
    this.#socket?.destroy();
  }

  #connect(): void {
    if (this.#isStopped) {
      return;
    }
    const { address, script } = this.#options;
    const [host = "", port = ""] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    this.#socket = socket;
    socket.pause();
    socket.on("error", () => {});
    socket.once(
      "close",
      () => setTimeout(() => this.#connect(), RECONNECT_DELAY_MS),
    );
    socket.once("connect", () => {
      socket.write(script.head);
      this.#sendPieces(socket, script.pieces ?? Infinity);
    });
  }

  #sendPieces(socket: Socket, left: number): void {
    const { piece, pauseMs, leaves = false } = this.#options.script;
    if (piece === undefined || left <= 0 || socket.destroyed) {
      if (leaves) {
        socket.destroySoon();
      }
      return;
    }
    const count = pauseMs === undefined
      ? Math.min(left, Math.ceil(WRITE_BYTES / piece.length))
      : 1;
    const data = Buffer.alloc(count * piece.length, piece);
    socket.write(data, async (error) => {
      if (pauseMs !== undefined) {
        await wait(pauseMs);
      }
      if (!error) {
        this.#sendPieces(socket, left - count);
      }
    });
  }
}

/** The request line and headers that a crowd sends. */
export interface RequestHead {
  method: string;
  path: string;
  host?: string;
  headers?: Readonly<Record<string, string | number>>;
  version?: "1.0" | "1.1";
}

/** Writes the head of a request. */
export function requestHead(
  { method, path, host, headers = {}, version = "1.1" }: RequestHead,
): string {
  const lines = Object.entries({
    ...host !== undefined && { host },
    ...headers,
  })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/${version}\r\n${lines.join("")}\r\n`;
}

/** Writes bytes as one chunk of a chunked body. */
export function chunk(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`);
}
