/**
 * Retry budget: retries add at most a fixed share to the load, so that they cannot amplify an overload
 * (Beyer et al., "Site Reliability Engineering", chapter 21, "Handling Overload").
 *
 * @module
 */

/** How a budget grows. */
export interface RetryBudgetTerms {
  /** Retries earned per request. */
  retriesPerRequest: number;
  /** Maximum number of unused retries. */
  maxBalance: number;
  /** Retries that are available before the first request. */
  initialBalance: number;
}

/** Terms of one service at one entry. */
const SERVICE_TERMS: RetryBudgetTerms = {
  retriesPerRequest: 0.1,
  maxBalance: 10,
  initialBalance: 1,
};

/** Limits retries to a share of the requests; by default, on the terms of one service at one entry. */
export class RetryBudget {
  readonly #terms: RetryBudgetTerms;
  #balance: number;

  constructor(terms = SERVICE_TERMS) {
    this.#terms = terms;
    this.#balance = terms.initialBalance;
  }

  /** Records the first attempt of a request. */
  deposit(): void {
    const { maxBalance, retriesPerRequest } = this.#terms;
    this.#balance = Math.min(maxBalance, this.#balance + retriesPerRequest);
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
