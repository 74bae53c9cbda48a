/**
 * Division of the slots of one service among entries: in proportion to their needs, with as few changes as possible.
 *
 * @module
 */

/** Slots by entry and target. */
export type SlotMatrix = Map<string, Map<string, number>>;

/** Need of an entry for slots of a service, as in `SlotNeed`. */
export interface EntryNeed {
  entry: string;
  live: number;
  overnight: number;
  waiting: number;
}

/** A target and the number of its slots that may be used now. */
export interface TargetSlots {
  target: string;
  slots: number;
  /** Maximum slots of one entry. */
  maxPerEntry: number;
}

/** An entry's quota stays as it is when its ideal share differs by at most this number of slots. */
const HYSTERESIS_SLOTS = 1;

/** Need assumed for each entry on top of its own, so that an idle one has a slot for its first request. */
const IDLE_NEED_SLOTS = 0.5;

/** Updates the matrix in place to a new division of the slots. */
export function divideSlots(
  matrix: SlotMatrix,
  needs: readonly EntryNeed[],
  targets: readonly TargetSlots[],
): void {
  const entries = needs.map((need) => need.entry);
  syncRows(matrix, new Set(entries), targets);
  const total = targets.reduce((sum, target) => sum + target.slots, 0);
  const current = new Map(entries.map((e) => [e, entrySlots(matrix, e)]));
  const quotas = computeQuotas(needs, { total, current });
  trimEntries(matrix, quotas, targets);
  trimTargets(matrix, quotas, targets);
  assignFreeSlots(matrix, quotas, targets);
}

/** Whole numbers of slots per entry, close to the ideal shares and to the current division. */
function computeQuotas(
  needs: readonly EntryNeed[],
  { total, current }: { total: number; current: ReadonlyMap<string, number> },
): Map<string, number> {
  const ideal = idealShares(needs, total);
  const quotas = new Map<string, number>();
  for (const [entry, share] of ideal) {
    const slots = current.get(entry) ?? 0;
    const isNear = Math.abs(share - slots) <= HYSTERESIS_SLOTS;
    quotas.set(entry, isNear ? slots : Math.round(share));
  }
  adjustToTotal(quotas, ideal, total);
  moveSlotsToWaiting(quotas, needs);
  return quotas;
}

/** Moves a slot from an entry without queued requests to one that has queued requests but no slot. */
function moveSlotsToWaiting(
  quotas: Map<string, number>,
  needs: readonly EntryNeed[],
): void {
  const donors = needs.filter((need) => need.waiting === 0);
  for (const { entry, waiting } of needs) {
    if (waiting === 0 || (quotas.get(entry) ?? 0) > 0) {
      continue;
    }
    const donor = donors.find((need) => (quotas.get(need.entry) ?? 0) > 0);
    if (donor !== undefined) {
      quotas.set(donor.entry, (quotas.get(donor.entry) ?? 0) - 1);
      quotas.set(entry, 1);
    }
  }
}

/** Shares by need plus its square root (square-root staffing, Halfin and Whitt, 1981); overnight gets the rest. */
function idealShares(
  needs: readonly EntryNeed[],
  total: number,
): Map<string, number> {
  const weights = needs.map((need) =>
    need.live + Math.sqrt(need.live) + IDLE_NEED_SLOTS
  );
  const wanted = weights.reduce((sum, weight) => sum + weight, 0);
  const overnight = needs.reduce((sum, need) => sum + need.overnight, 0);
  const spare = Math.min(Math.max(0, total - wanted), overnight);
  const live = total - spare;
  return new Map(needs.map((need, index) => {
    const share = live * (weights[index] ?? 0) / Math.max(wanted, 1);
    const rest = overnight === 0 ? 0 : spare * need.overnight / overnight;
    return [need.entry, share + rest];
  }));
}

/** Adjusts quotas by one slot at a time until they add up to the total. */
function adjustToTotal(
  quotas: Map<string, number>,
  ideal: ReadonlyMap<string, number>,
  total: number,
): void {
  const entries = [...quotas.keys()];
  const gap = (entry: string): number =>
    (ideal.get(entry) ?? 0) - (quotas.get(entry) ?? 0);
  let sum = entries.reduce((s, entry) => s + (quotas.get(entry) ?? 0), 0);
  while (sum !== total && entries.length > 0) {
    const step = sum < total ? 1 : -1;
    const entry = entries.reduce((a, b) =>
      step * gap(b) > step * gap(a) ? b : a
    );
    quotas.set(entry, (quotas.get(entry) ?? 0) + step);
    sum += step;
  }
}

/** Removes entries and targets that no longer exist, and adds rows for new entries. */
function syncRows(
  matrix: SlotMatrix,
  entries: ReadonlySet<string>,
  targets: readonly TargetSlots[],
): void {
  const known = new Set(targets.map((target) => target.target));
  for (const [entry, row] of matrix) {
    if (!entries.has(entry)) {
      matrix.delete(entry);
      continue;
    }
    for (const target of row.keys()) {
      if (!known.has(target)) {
        row.delete(target);
      }
    }
  }
  for (const entry of entries) {
    if (!matrix.has(entry)) {
      matrix.set(entry, new Map());
    }
  }
}

/** Removes slots of entries above their quotas, first at the targets where they hold most. */
function trimEntries(
  matrix: SlotMatrix,
  quotas: ReadonlyMap<string, number>,
  targets: readonly TargetSlots[],
): void {
  const limits = new Map(targets.map((t) => [t.target, t.maxPerEntry]));
  for (const [entry, row] of matrix) {
    for (const [target, slots] of row) {
      const limit = limits.get(target) ?? 0;
      if (slots > limit) {
        row.set(target, limit);
      }
    }
    let excess = entrySlots(matrix, entry) - (quotas.get(entry) ?? 0);
    while (excess > 0) {
      const [target, slots] = [...row].reduce((a, b) => b[1] > a[1] ? b : a);
      row.set(target, slots - 1);
      excess -= 1;
    }
  }
}

/** Removes slots at targets that have fewer than are assigned, first from the entries that hold most of them. */
function trimTargets(
  matrix: SlotMatrix,
  quotas: ReadonlyMap<string, number>,
  targets: readonly TargetSlots[],
): void {
  for (const { target, slots } of targets) {
    let excess = targetSlots(matrix, target) - slots;
    while (excess > 0) {
      const entry = [...quotas.keys()].reduce((a, b) =>
        slotsAt(matrix, b, target) > slotsAt(matrix, a, target) ? b : a
      );
      setSlots(matrix, { entry, target }, slotsAt(matrix, entry, target) - 1);
      excess -= 1;
    }
  }
}

/** Assigns free slots, each to the entry furthest below its quota, spread over the targets. */
function assignFreeSlots(
  matrix: SlotMatrix,
  quotas: ReadonlyMap<string, number>,
  targets: readonly TargetSlots[],
): void {
  const deficits = new Map<string, number>();
  for (const [entry, quota] of quotas) {
    deficits.set(entry, quota - entrySlots(matrix, entry));
  }
  const free = new Map<string, number>();
  for (const { target, slots } of targets) {
    free.set(target, slots - targetSlots(matrix, target));
  }
  for (;;) {
    const entry = entryWithLargestDeficit(deficits);
    const target = entry && bestTarget(matrix, { entry, free, targets });
    if (entry === undefined) {
      return;
    }
    if (target === undefined) {
      deficits.delete(entry);
      continue;
    }
    setSlots(matrix, { entry, target }, slotsAt(matrix, entry, target) + 1);
    deficits.set(entry, (deficits.get(entry) ?? 0) - 1);
    free.set(target, (free.get(target) ?? 0) - 1);
  }
}

function entryWithLargestDeficit(
  deficits: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  for (const [entry, slots] of deficits) {
    if (slots > 0 && slots > (deficits.get(best ?? "") ?? 0)) {
      best = entry;
    }
  }
  return best;
}

/** The target with free slots of which the entry holds fewest; among equals, the one with most free slots. */
function bestTarget(
  matrix: SlotMatrix,
  { entry, free, targets }: {
    entry: string;
    free: ReadonlyMap<string, number>;
    targets: readonly TargetSlots[];
  },
): string | undefined {
  let best: string | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  const row = matrix.get(entry);
  for (const { target, maxPerEntry } of targets) {
    const held = row?.get(target) ?? 0;
    const available = free.get(target) ?? 0;
    const score = available / 1_000 - held;
    if (available > 0 && held < maxPerEntry && score > bestScore) {
      best = target;
      bestScore = score;
    }
  }
  return best;
}

/** Slots of an entry at a target; 0 when it has none. */
export function slotsAt(
  matrix: SlotMatrix,
  entry: string,
  target: string,
): number {
  return matrix.get(entry)?.get(target) ?? 0;
}

function setSlots(
  matrix: SlotMatrix,
  { entry, target }: { entry: string; target: string },
  slots: number,
): void {
  matrix.get(entry)?.set(target, slots);
}

function entrySlots(matrix: SlotMatrix, entry: string): number {
  let sum = 0;
  for (const slots of matrix.get(entry)?.values() ?? []) {
    sum += slots;
  }
  return sum;
}

function targetSlots(matrix: SlotMatrix, target: string): number {
  let sum = 0;
  for (const row of matrix.values()) {
    sum += row.get(target) ?? 0;
  }
  return sum;
}
