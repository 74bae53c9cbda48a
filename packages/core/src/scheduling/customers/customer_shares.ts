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
import { dominantShare } from "../../dominant_share.ts";
import {
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import type { CustomerLimit, CustomerLimits } from "./customer_limits.ts";
import type { CustomerUsage, Owner } from "./customer_usage.ts";
import type { WaitingStep } from "../model/job_record.ts";
import { addInPlace, NO_RESOURCES } from "../model/resource_sum.ts";

/** What the shares of a pass are derived from. */
export interface SharesInput {
  /** Weights of the customers of the plan. */
  weights: ReadonlyMap<string, number>;
  limits: CustomerLimits;
  usage: CustomerUsage;
  /** Resources of the workers that may get new runs, by pool. */
  capacities: ReadonlyMap<string, Resources>;
}

/** A customer's wish for a part of a whole. */
export interface Claim {
  weight: number;
  wanted: number;
}

/** Part of a task by which rounding may raise a count of tasks. */
const TOLERANCE = 1e-6;

/** The share of one customer in one pool, with the runs that were planned. */
export class CustomerShare {
  readonly weight: number;
  /** Its cap, common to all pools; undefined for none. */
  readonly limit: CustomerLimit | undefined;
  readonly #capacity: Readonly<Resources>;
  readonly #held: Resources = { ...NO_RESOURCES };
  /** What is held, and what its waiting tasks would reserve. */
  readonly #wanted: Resources = { ...NO_RESOURCES };
  #entitlement = Infinity;
  #isBelow = true;

  constructor(
    weight: number,
    limit: CustomerLimit | undefined,
    capacity: Readonly<Resources>,
  ) {
    this.weight = weight;
    this.limit = limit;
    this.#capacity = capacity;
  }

  /** Dominant share that it would have if all its tasks ran that its cap allows. */
  get wantedShare(): number {
    const part = (resource: keyof Resources): number => {
      const [cap, wanted] = [
        this.limit?.cap[resource] ?? 0,
        this.#wanted[resource],
      ];
      return cap === 0 || wanted === 0
        ? 1
        : Math.max(this.#held[resource], cap) / wanted;
    };
    return dominantShare(this.#wanted, this.#capacity) *
      Math.min(1, part("cpuMilli"), part("memoryMb"), part("gpus"));
  }

  addHeld(held: Readonly<Resources>): void {
    addInPlace(this.#held, held);
    addInPlace(this.#wanted, held);
  }

  addWaiting({ spec, indices }: WaitingStep): void {
    addInPlace(this.#wanted, reservation(spec), indices.size);
  }

  /** Counts tasks that were planned, against the cap too. */
  addPlanned(spec: StepSpec, count: number): void {
    this.limit?.addPlanned(spec, count);
    addInPlace(this.#held, reservation(spec), count);
    this.#compare();
  }

  /** Sets the dominant share to which it is entitled. */
  entitle(share: number): void {
    this.#entitlement = share;
    this.#compare();
  }

  /** Whether it has less than its entitlement. */
  get isBelow(): boolean {
    return this.#isBelow;
  }

  /** Number of tasks that bring it to its entitlement; at least 1 while it has less. */
  tasksWithin(spec: StepSpec): number {
    if (this.#entitlement === Infinity) {
      return Infinity;
    }
    const demand = reservation(spec);
    const count = Math.min(
      this.#countWithin("cpuMilli", demand),
      this.#countWithin("memoryMb", demand),
      this.#countWithin("gpus", demand),
    );
    return Math.max(1, count);
  }

  #countWithin(
    resource: keyof Resources,
    { [resource]: each }: Readonly<Resources>,
  ): number {
    const left = this.#entitlement * this.#capacity[resource] -
      this.#held[resource];
    return each === 0 ? Infinity : Math.ceil(left / each - TOLERANCE);
  }

  #compare(): void {
    this.#isBelow = this.#entitlement === Infinity ||
      dominantShare(this.#held, this.#capacity) < this.#entitlement;
  }
}

/** Shares of all customers that have runs or waiting steps in a pool. */
class PoolShares {
  readonly #input: SharesInput;
  readonly #capacity: Readonly<Resources>;
  readonly #shares = new Map<Owner, CustomerShare>();
  /** Share of the owners that the plan does not have. */
  #others: CustomerShare | undefined;

  constructor(pool: string, input: SharesInput) {
    this.#input = input;
    this.#capacity = input.capacities.get(pool) ?? NO_RESOURCES;
    for (const [owner, held] of input.usage.ownersIn(pool)) {
      this.of(owner).addHeld(held);
    }
  }

  of(owner: Owner): CustomerShare {
    let share = this.#shares.get(owner);
    if (share === undefined) {
      share = this.#newShare(owner);
      this.#shares.set(owner, share);
    }
    return share;
  }

  /** Sets the entitlements by what each customer wants. */
  divide(): void {
    const shares = [...new Set(this.#shares.values())];
    const level = fairLevel(shares.map(({ weight, wantedShare }): Claim => ({
      weight,
      wanted: wantedShare,
    })));
    for (const share of shares) {
      share.entitle(share.weight === 0 ? 0 : level * share.weight);
    }
  }

  #newShare(owner: Owner): CustomerShare {
    const { weights, limits } = this.#input;
    const weight = owner === undefined ? undefined : weights.get(owner);
    if (weight !== undefined) {
      return new CustomerShare(weight, limits.of(owner), this.#capacity);
    }
    this.#others ??= new CustomerShare(
      mean([...weights.values()]),
      undefined,
      this.#capacity,
    );
    return this.#others;
  }
}

/** Shares of one pass. */
export class CustomerShares {
  readonly #input: SharesInput;
  readonly #pools = new Map<string, PoolShares>();

  constructor(input: SharesInput) {
    this.#input = input;
  }

  /** Adds a waiting step to what its owner wants, and returns the owner's share of the pool. */
  add(step: WaitingStep): CustomerShare {
    const { pool, customer } = step.job;
    let inPool = this.#pools.get(pool);
    if (inPool === undefined) {
      inPool = new PoolShares(pool, this.#input);
      this.#pools.set(pool, inPool);
    }
    const share = inPool.of(customer);
    share.addWaiting(step);
    return share;
  }

  /** Sets the entitlements, once all steps are added. */
  divide(): void {
    this.#pools.forEach((inPool) => inPool.divide());
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

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
