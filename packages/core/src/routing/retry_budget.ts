/**
 * A retry budget: retries may add at most a fixed share to the load, so that they cannot amplify an overload
 * (Beyer et al., "Site Reliability Engineering", chapter 21, "Handling Overload").
 *
 * @module
 */

/** Retries for each first attempt. */
const RETRIES_PER_REQUEST = 0.1;

/** Unused retries that can be saved up. */
const MAX_BALANCE = 10;

/** Counts first attempts and the retries that they pay for. */
export class RetryBudget {
  #balance = 1;

  /** Records a first attempt. */
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

  get balance(): number {
    return this.#balance;
  }
}
