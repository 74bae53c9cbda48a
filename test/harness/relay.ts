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
  /** IP address of the near end. */
  source: string;
  /** Whether the pair stays silent for good. */
  lost: boolean;
}

/** What happens to the connections of one source. */
interface Rule {
  out: Passage;
  back: Passage;
  delayMs: number;
}

const OPEN: Rule = { out: "open", back: "open", delayMs: 0 };

export class Relay {
  readonly #listen: { host: string; port: number };
  readonly #target: { host: string; port: number };
  readonly #pairs = new Set<Pair>();
  #server: Server | undefined;
  #cut = false;
  #rule = OPEN;
  /** Rules of single sources, by IP address, which go before the common one. */
  readonly #rules = new Map<string, Rule>();

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

  /** Swallows bytes without ending any connection; of all sources, or of one. */
  silence(
    passage: { out?: Passage; back?: Passage } = {
      out: "silent",
      back: "silent",
    },
    source?: string,
  ): void {
    this.#change({ out: "open", back: "open", ...passage }, source);
  }

  /** Present connections stay silent for good; new ones work. */
  loseConnections(): void {
    this.#pairs.forEach((pair) => {
      pair.lost = true;
    });
  }

  /** Resets present connections; new ones work. */
  reset(): void {
    this.#pairs.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.resetAndDestroy();
    });
  }

  /** Delays each chunk in each direction; of all sources, or of one. */
  delay(delayMs: number, source?: string): void {
    this.#change({ delayMs }, source);
  }

  /** Lets everything pass at once; of one source, or of all. */
  heal(source?: string): void {
    if (source === undefined) {
      this.#cut = false;
      this.#rule = OPEN;
      this.#rules.clear();
    } else {
      this.#rules.delete(source);
    }
  }

  #change(change: Partial<Rule>, source: string | undefined): void {
    if (source === undefined) {
      this.#rule = { ...this.#rule, ...change };
    } else {
      this.#rules.set(source, { ...this.#ruleOf(source), ...change });
    }
  }

  #ruleOf(source: string): Rule {
    return this.#rules.get(source) ?? this.#rule;
  }

  #accept(near: Socket): void {
    if (this.#cut) {
      near.destroy();
      return;
    }
    const far = connect(this.#target);
    const source = near.remoteAddress ?? "";
    const pair: Pair = { near, far, source, lost: false };
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
      const rule = this.#ruleOf(pair.source);
      // A stream that lost some bytes must not go on behind the gap.
      pair.lost ||= rule[direction] === "silent";
      if (pair.lost) {
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
