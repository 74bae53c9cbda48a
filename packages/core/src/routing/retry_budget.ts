/**
 * A retry budget: retries may add at most a fixed share to the load, so that they cannot amplify an overload
 * (Beyer et al., "Site Reliability Engineering", chapter 21, "Handling Overload").
 *
 * @module
 */

/** Retries for each first attempt. */
const RETRY_SHARE = 0.1;

/** Unused retries that can be saved up. */
const MAX_SAVED = 10;

/** Counts first attempts and the retries that they pay for. */
export class RetryBudget {
  #saved = 1;

  /** Records a first attempt. */
  earn(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + RETRY_SHARE);
  }

  /** Takes one retry if the budget allows it. */
  spend(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved -= 1;
    return true;
  }

  get saved(): number {
    return this.#saved;
  }
}
