/**
 * Division of the slots of one service among entries, in proportion to their need and with few changes.
 *
 * @module
 */

/** Slots of entries at targets: entry, then target. */
export type SlotMatrix = Map<string, Map<string, number>>;

/** An entry's need of a service. */
export interface EntryNeed {
  entry: string;
  live: number;
  overnight: number;
  waiting: number;
}

/** A target and the slots of it that may be used now. */
export interface TargetSlots {
  target: string;
  slots: number;
  /** Most slots that one entry may hold. */
  maxPerEntry: number;
}

/** A change smaller than this many slots is not worth a move. */
const HYSTERESIS_SLOTS = 1;

/** Need of an entry without callers, so that a first caller finds a slot. */
const IDLE_NEED_SLOTS = 0.5;

/** Divides slots anew, starting from the present matrix, which it changes in place. */
export function divideSlots(
  matrix: SlotMatrix,
  needs: readonly EntryNeed[],
  targets: readonly TargetSlots[],
): void {
  const entries = needs.map((need) => need.entry);
  prune(matrix, new Set(entries), targets);
  const total = targets.reduce((sum, target) => sum + target.slots, 0);
  const present = new Map(entries.map((e) => [e, entrySlots(matrix, e)]));
  const quotas = computeQuotas(needs, { total, present });
  trimEntries(matrix, quotas, targets);
  trimTargets(matrix, quotas, targets);
  assignFreeSlots(matrix, quotas, targets);
}

/** Whole numbers of slots for each entry, near the ideal shares and near the present ones. */
function computeQuotas(
  needs: readonly EntryNeed[],
  { total, present }: { total: number; present: ReadonlyMap<string, number> },
): Map<string, number> {
  const ideal = idealShares(needs, total);
  const quotas = new Map<string, number>();
  for (const [entry, share] of ideal) {
    const now = present.get(entry) ?? 0;
    const isNear = Math.abs(share - now) <= HYSTERESIS_SLOTS;
    quotas.set(entry, isNear ? now : Math.round(share));
  }
  adjustToTotal(quotas, ideal, total);
  moveSlotsToWaiting(quotas, needs);
  return quotas;
}

/** With fewer slots than entries, passes a slot from an entry without waiting requests to one that has some. */
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

/** Shares by need plus its square root (square-root staffing, Halfin and Whitt, 1981); overnight takes the rest. */
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

/** Corrects quotas one slot at a time until they add up to the total. */
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

function prune(
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

/** Takes slots from entries above their quota, first where they hold most. */
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

/** Takes slots of targets that have fewer than are held, first from the entries that hold most of them. */
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

/** Gives free slots to the entries that lack most, spread over the targets. */
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
  lack: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  for (const [entry, slots] of lack) {
    if (slots > 0 && slots > (lack.get(best ?? "") ?? 0)) {
      best = entry;
    }
  }
  return best;
}

/** The target of which the entry holds least among those with free slots; the most free one when equal. */
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
  for (const { target, maxPerEntry: perEntry } of targets) {
    const held = row?.get(target) ?? 0;
    const available = free.get(target) ?? 0;
    const score = available / 1_000 - held;
    if (available > 0 && held < perEntry && score > bestScore) {
      best = target;
      bestScore = score;
    }
  }
  return best;
}

/** Slots of an entry at a target. */
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
