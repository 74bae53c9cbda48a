/**
 * Division of the fleet's cores among pools whose demand exceeds it.
 *
 * When the demand of several pools peaks at once, the one that peaked first would keep all VMs until its last late job is
 * done, while the jobs of the others become late as well. So jobs that can still meet their objective go first, in all
 * pools, and what is left goes to the late ones.
 *
 * @module
 */

/** What a pool could use, in cores. */
export interface PoolClaim {
  pool: string;
  /** For work that can still meet its objective. */
  urgent: number;
  /** For all its work; at least `urgent`. */
  total: number;
}

/**
 * Cores of each pool: max-min fair among the urgent claims, then among the rest of the claims. A pool never gets more
 * than it claims.
 */
export function allocateCores(
  claims: readonly PoolClaim[],
  cores: number,
): Map<string, number> {
  const urgent = divide(claims.map((claim) => claim.urgent), cores);
  const left = cores - sum(urgent);
  const late = divide(
    claims.map((claim) => claim.total - claim.urgent),
    left,
  );
  return new Map(
    claims.map(({ pool }, i) => [pool, (urgent[i] ?? 0) + (late[i] ?? 0)]),
  );
}

/** Max-min fair division: small claims are met, the larger ones get equal parts of what is left. */
function divide(claims: readonly number[], amount: number): number[] {
  const parts = claims.map(() => 0);
  const bySize = claims.map((claim, index) => ({ claim, index }))
    .sort((a, b) => a.claim - b.claim);
  let left = Math.max(0, amount);
  bySize.forEach(({ claim, index }, position) => {
    const part = Math.min(claim, left / (bySize.length - position));
    parts[index] = part;
    left -= part;
  });
  return parts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
