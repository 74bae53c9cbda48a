/**
 * A request in progress, and the memory that is counted for it.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Ends when the answer is written or lost and the handler has ended. */
export class RequestHold {
  /** Whether there is memory for the request. */
  readonly hasRoom: boolean;
  readonly #response: ServerResponse;
  readonly #releases: (() => void)[] = [];
  readonly #onEnd: () => void;
  #isAnswered = false;
  #isHandled = false;

  constructor(
    response: ServerResponse,
    hasRoom: boolean,
    onEnd: () => void,
  ) {
    this.#response = response;
    this.hasRoom = hasRoom;
    this.#onEnd = onEnd;
  }

  /** Adds a function that gives memory back. */
  add(release: () => void): void {
    this.#releases.push(release);
  }

  /** Gives the memory back. */
  release(): void {
    this.#releases.forEach((release) => release());
  }

  /** Closes the connection after the answer, unless that is being written already. */
  closeAfterAnswer(): void {
    if (!this.#response.headersSent) {
      this.#response.setHeader("connection", "close");
    }
  }

  endAnswer(): void {
    if (!this.#isAnswered) {
      this.#isAnswered = true;
      this.#endIfOver();
    }
  }

  endHandler(): void {
    this.#isHandled = true;
    this.#endIfOver();
  }

  #endIfOver(): void {
    if (this.#isAnswered && this.#isHandled) {
      this.#onEnd();
    }
  }
}
