/**
 * A TCP relay between two processes that can cut, silence or delay what passes.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** What happens to the bytes of one direction. */
export type Passage = "open" | "silent";

interface Pair {
  near: Socket;
  far: Socket;
  /** A pair made before a silence stays silent for good. */
  lost: boolean;
}

export class Relay {
  readonly #listen: { host: string; port: number };
  readonly #target: { host: string; port: number };
  readonly #pairs = new Set<Pair>();
  #server: Server | undefined;
  #cut = false;
  #passage: { out: Passage; back: Passage } = { out: "open", back: "open" };
  #delayMs = 0;

  constructor(
    listen: { host: string; port: number },
    target: { host: string; port: number },
  ) {
    this.#listen = listen;
    this.#target = target;
  }

  start(): Promise<void> {
    this.#server = createServer((near) => this.#accept(near));
    return new Promise((resolve, reject) => {
      this.#server?.once("error", reject);
      this.#server?.listen(this.#listen, resolve);
    });
  }

  stop(): Promise<void> {
    this.cut();
    return new Promise((resolve) => this.#server?.close(() => resolve()));
  }

  /** Ends all connections and accepts none. */
  cut(): void {
    this.#cut = true;
    this.#pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
    this.#pairs.clear();
  }

  /** Swallows bytes without ending any connection. */
  silence(
    passage: { out?: Passage; back?: Passage } = {
      out: "silent",
      back: "silent",
    },
  ): void {
    this.#passage = { out: "open", back: "open", ...passage };
  }

  /** Present connections stay silent for good; new ones work. */
  loseConnections(): void {
    this.#pairs.forEach((pair) => {
      pair.lost = true;
    });
  }

  /** Delays each chunk in each direction. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  heal(): void {
    this.#cut = false;
    this.#passage = { out: "open", back: "open" };
  }

  #accept(near: Socket): void {
    if (this.#cut) {
      near.destroy();
      return;
    }
    const far = connect(this.#target);
    const pair: Pair = { near, far, lost: false };
    this.#pairs.add(pair);
    this.#pipe(pair, near, far, "out");
    this.#pipe(pair, far, near, "back");
  }

  #pipe(pair: Pair, from: Socket, to: Socket, direction: "out" | "back"): void {
    from.setNoDelay(true);
    from.on("error", () => {});
    from.on("close", () => {
      this.#pairs.delete(pair);
      to.destroy();
    });
    from.on("data", (chunk) => {
      if (pair.lost || this.#passage[direction] === "silent") {
        return;
      }
      if (this.#delayMs === 0) {
        to.write(chunk);
      } else {
        setTimeout(() => to.write(chunk), this.#delayMs);
      }
    });
  }
}
