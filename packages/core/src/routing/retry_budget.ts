/**
 * Retry budget: retries add at most a fixed share to the load, so that they cannot amplify an overload
 * (Beyer et al., "Site Reliability Engineering", chapter 21, "Handling Overload").
 *
 * @module
 */

/** Retries earned per request. */
const RETRIES_PER_REQUEST = 0.1;

/** Maximum number of unused retries. */
const MAX_BALANCE = 10;

/** Retry budget of one service at one entry. */
export class RetryBudget {
  #balance = 1;

  /** Records the first attempt of a request. */
  deposit(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry if the budget allows it. */
  withdraw(): boolean {
    if (this.#balance < 1) {
      return false;
    }
    this.#balance -= 1;
    return true;
  }

  /** Available retries. */
  get balance(): number {
    return this.#balance;
  }
}
