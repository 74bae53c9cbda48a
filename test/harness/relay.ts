/**
 * A TCP relay between two processes that can disconnect them, or drop or delay the bytes that it forwards.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** Whether the bytes of one direction are forwarded (`open`) or dropped (`silent`). */
export type Forwarding = "open" | "silent";

interface ConnectionPair {
  client: Socket;
  upstream: Socket;
  /** IP address of the client. */
  source: string;
  /** Whether all further bytes of the pair are dropped. */
  isDropped: boolean;
}

/** Treatment of connections. `out` is the direction from the client to the server, `back` the opposite one. */
interface TrafficRule {
  out: Forwarding;
  back: Forwarding;
  delayMs: number;
}

const PASS_ALL: TrafficRule = { out: "open", back: "open", delayMs: 0 };

export class Relay {
  readonly #listen: { host: string; port: number };
  readonly #target: { host: string; port: number };
  readonly #pairs = new Set<ConnectionPair>();
  #server: Server | undefined;
  #isDisconnected = false;
  #defaultRule = PASS_ALL;
  /** Rules by IP address of the client; they take precedence over the default rule. */
  readonly #ruleBySource = new Map<string, TrafficRule>();

  constructor(
    listen: { host: string; port: number },
    target: { host: string; port: number },
  ) {
    this.#listen = listen;
    this.#target = target;
  }

  start(): Promise<void> {
    this.#server = createServer((client) => this.#accept(client));
    return new Promise((resolve, reject) => {
      this.#server?.once("error", reject);
      this.#server?.listen(this.#listen, resolve);
    });
  }

  stop(): Promise<void> {
    this.disconnect();
    return new Promise((resolve) => this.#server?.close(() => resolve()));
  }

  /** Closes all connections and refuses new ones. */
  disconnect(): void {
    this.#isDisconnected = true;
    this.#pairs.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
    this.#pairs.clear();
  }

  /** Drops bytes without closing any connection, for all clients or for one IP address. */
  dropBytes(
    forwarding: { out?: Forwarding; back?: Forwarding } = {
      out: "silent",
      back: "silent",
    },
    source?: string,
  ): void {
    this.#change({ out: "open", back: "open", ...forwarding }, source);
  }

  /** Drops all further bytes of the present connections without closing them; new connections work. */
  dropPresentConnections(): void {
    this.#pairs.forEach((pair) => {
      pair.isDropped = true;
    });
  }

  /** Resets the present connections; new ones work. */
  reset(): void {
    this.#pairs.forEach(({ client, upstream }) => {
      client.resetAndDestroy();
      upstream.resetAndDestroy();
    });
  }

  /** Delays each chunk in both directions, for all clients or for one IP address. */
  delay(delayMs: number, source?: string): void {
    this.#change({ delayMs }, source);
  }

  /** Lets new bytes and connections pass again, without delay, for all clients or for one IP address. */
  heal(source?: string): void {
    if (source === undefined) {
      this.#isDisconnected = false;
      this.#defaultRule = PASS_ALL;
      this.#ruleBySource.clear();
    } else {
      this.#ruleBySource.delete(source);
    }
  }

  #change(change: Partial<TrafficRule>, source: string | undefined): void {
    if (source === undefined) {
      this.#defaultRule = { ...this.#defaultRule, ...change };
    } else {
      this.#ruleBySource.set(source, { ...this.#ruleOf(source), ...change });
    }
  }

  #ruleOf(source: string): TrafficRule {
    return this.#ruleBySource.get(source) ?? this.#defaultRule;
  }

  #accept(client: Socket): void {
    if (this.#isDisconnected) {
      client.destroy();
      return;
    }
    const upstream = connect(this.#target);
    const source = client.remoteAddress ?? "";
    const pair: ConnectionPair = { client, upstream, source, isDropped: false };
    this.#pairs.add(pair);
    this.#pipe(pair, client, upstream, "out");
    this.#pipe(pair, upstream, client, "back");
  }

  #pipe(
    pair: ConnectionPair,
    from: Socket,
    to: Socket,
    direction: "out" | "back",
  ): void {
    from.setNoDelay(true);
    from.on("error", () => {});
    from.on("close", () => {
      this.#pairs.delete(pair);
      to.destroy();
    });
    from.on("data", (chunk) => {
      const rule = this.#ruleOf(pair.source);
      // A stream that lost bytes must not continue after the gap.
      pair.isDropped ||= rule[direction] === "silent";
      if (pair.isDropped) {
        return;
      }
      if (rule.delayMs === 0) {
        to.write(chunk);
      } else {
        setTimeout(() => to.write(chunk), rule.delayMs);
      }
    });
  }
}
