/**
 * Shares of customers in each pool during one placement pass.
 *
 * A pool is divided by weighted max-min fairness over dominant shares: a customer that wants less than its part by
 * weight gets what it wants, and the others divide the rest by weight. A customer is entitled to at least its weight over the
 * weights of the customers that have runs or waiting steps in the pool, as far as it wants that much.
 *
 * Anonymous jobs, and jobs of customers that the plan no longer has, share one account with the mean weight of the plan's
 * customers: nobody promised them a share, but they must not starve.
 *
 * @module
 */
import { dominantShare } from "../dominant_share.ts";
import { reservation, type Resources, type StepSpec } from "./batch_job.ts";
import type { Customer } from "./customer.ts";
import type { CustomerUsage, Owner } from "./customer_usage.ts";
import type { WaitingStep } from "./job_record.ts";
import { NO_RESOURCES, plus } from "./resource_sum.ts";

/** What the shares of a pass are derived from. */
export interface SharesInput {
  customers: readonly Customer[];
  usage: CustomerUsage;
  waiting: Iterable<WaitingStep>;
  /** Resources of the workers that may get new runs, by pool. */
  capacities: ReadonlyMap<string, Resources>;
}

/** What one customer has and wants in a pool. */
interface Account {
  weight: number;
  cap: Resources;
  /** Resources that its runs reserve, planned ones included. */
  held: Resources;
  /** These and the resources that its waiting tasks would reserve. */
  wanted: Resources;
}

/** A customer's wish for a part of a whole. */
export interface Claim {
  weight: number;
  wanted: number;
}

/** Part of a task by which rounding may raise a count of tasks. */
const TOLERANCE = 1e-6;

export class CustomerShares {
  readonly #pools = new Map<string, PoolShares>();

  constructor({ customers, usage, waiting, capacities }: SharesInput) {
    const byName = new Map(customers.map((each) => [each.name, each]));
    for (const step of waiting) {
      const { pool } = step.job;
      let shares = this.#pools.get(pool);
      if (shares === undefined) {
        shares = new PoolShares(byName, capacities.get(pool) ?? NO_RESOURCES);
        this.#pools.set(pool, shares);
        for (const [owner, held] of usage.ownersIn(pool)) {
          shares.addHeld(owner, held);
        }
      }
      shares.addWanted(step);
    }
    this.#pools.forEach((shares) => shares.divide());
  }

  /** Number of tasks of a step that bring its customer to its entitlement; 0 if it has that already. */
  tasksWithin(step: WaitingStep): number {
    return this.#pools.get(step.job.pool)?.tasksWithin(step) ?? Infinity;
  }

  /** Counts tasks that were planned. */
  addPlanned(step: WaitingStep, count: number): void {
    this.#pools.get(step.job.pool)?.addPlanned(step, count);
  }
}

class PoolShares {
  readonly #customers: ReadonlyMap<string, Customer>;
  readonly #capacity: Readonly<Resources>;
  readonly #accounts = new Map<string, Account>();
  /** Account of the owners that the plan does not have. */
  #others: Account | undefined;
  /** Share per weight to which a customer is entitled. */
  #level = Infinity;

  constructor(
    customers: ReadonlyMap<string, Customer>,
    capacity: Readonly<Resources>,
  ) {
    this.#customers = customers;
    this.#capacity = capacity;
  }

  addHeld(owner: Owner, held: Readonly<Resources>): void {
    const account = this.#accountOf(owner);
    account.held = plus(account.held, held, 1);
    account.wanted = plus(account.wanted, held, 1);
  }

  addWanted({ job, spec, indices }: WaitingStep): void {
    addInPlace(this.#accountOf(job.customer).wanted, spec, indices.size);
  }

  addPlanned({ job, spec }: WaitingStep, count: number): void {
    addInPlace(this.#accountOf(job.customer).held, spec, count);
  }

  /** Sets the entitlements by what each customer wants. */
  divide(): void {
    const accounts = [...this.#accounts.values()];
    if (this.#others !== undefined) {
      accounts.push(this.#others);
    }
    this.#level = fairLevel(accounts.map((account): Claim => ({
      weight: account.weight,
      wanted: attainablePart(account) *
        dominantShare(account.wanted, this.#capacity),
    })));
  }

  tasksWithin({ job, spec }: WaitingStep): number {
    const { weight, held } = this.#accountOf(job.customer);
    const entitlement = weight === 0 ? 0 : this.#level * weight;
    if (entitlement === Infinity) {
      return Infinity;
    }
    if (dominantShare(held, this.#capacity) >= entitlement) {
      return 0;
    }
    const capacity = this.#capacity;
    const demand = reservation(spec);
    const countWithin = (resource: keyof Resources): number => {
      const each = demand[resource];
      const room = entitlement * capacity[resource] - held[resource];
      return each === 0 ? Infinity : Math.ceil(room / each - TOLERANCE);
    };
    return Math.max(
      1,
      Math.min(
        countWithin("cpuMilli"),
        countWithin("memoryMb"),
        countWithin("gpus"),
      ),
    );
  }

  #accountOf(owner: Owner): Account {
    const known = owner === undefined ? undefined : this.#accounts.get(owner);
    if (known !== undefined) {
      return known;
    }
    const customer = owner === undefined
      ? undefined
      : this.#customers.get(owner);
    if (owner === undefined || customer === undefined) {
      this.#others ??= newAccount(this.#meanWeight(), NO_RESOURCES);
      return this.#others;
    }
    const account = newAccount(customer.weight, customer.cap);
    this.#accounts.set(owner, account);
    return account;
  }

  #meanWeight(): number {
    let sum = 0;
    this.#customers.forEach(({ weight }) => sum += weight);
    return sum / this.#customers.size;
  }
}

/**
 * The level at which a whole is used up if each claim gets what it wants, but at most its weight times the level;
 * Infinity if the whole suffices for all of them.
 */
export function fairLevel(claims: readonly Claim[]): number {
  const perWeight = ({ weight, wanted }: Claim): number => wanted / weight;
  const weighted = claims.filter(({ weight }) => weight > 0)
    .sort((a, b) => perWeight(a) - perWeight(b));
  let left = 1;
  let weightLeft = weighted.reduce((sum, { weight }) => sum + weight, 0);
  for (const claim of weighted) {
    if (perWeight(claim) > left / weightLeft) {
      return left / weightLeft;
    }
    left -= claim.wanted;
    weightLeft -= claim.weight;
  }
  return Infinity;
}

function newAccount(weight: number, cap: Resources): Account {
  const [held, wanted] = [{ ...NO_RESOURCES }, { ...NO_RESOURCES }];
  return { weight, cap, held, wanted };
}

/** Part of what a customer wants that its cap allows in this pool, if it has nothing running in others. */
function attainablePart({ cap, held, wanted }: Account): number {
  const part = (resource: keyof Resources): number =>
    cap[resource] === 0 || wanted[resource] === 0
      ? 1
      : Math.max(held[resource], cap[resource]) / wanted[resource];
  return Math.min(1, part("cpuMilli"), part("memoryMb"), part("gpus"));
}

function addInPlace(total: Resources, spec: StepSpec, count: number): void {
  const { cpuMilli, memoryMb, gpus } = reservation(spec);
  total.cpuMilli += count * cpuMilli;
  total.memoryMb += count * memoryMb;
  total.gpus += count * gpus;
}
