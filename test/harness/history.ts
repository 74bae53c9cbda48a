/**
 * Recorded histories of configuration changes and a check whether they are linearizable.
 *
 * The object is a counter of versions with compare-and-set, so its states come in one known order. For such an object
 * the general search (Wing and Gong, 1993) becomes a single pass: each step and each observation is placed at the
 * earliest time that its interval and the order of the versions allow.
 *
 * @module
 */

/** One operation from its first sending to its last answer. */
export interface Operation {
  operator: string;
  /** `change` moves from a version to the next one; `see` only observes a version. */
  kind: "change" | "see";
  /** The version after an accepted change, or the version seen; undefined when no answer came. */
  version: number | undefined;
  /** The version that a change builds on. */
  base?: number;
  startedAt: number;
  endedAt: number;
}

/** What contradicts linearizability; undefined when the history is linearizable. `first` is the version before it. */
export function linearizabilityViolation(
  history: readonly Operation[],
  first: number,
): string | undefined {
  const changes = new Map<number, Operation>();
  for (const operation of history.filter((one) => one.kind === "change")) {
    const { version } = operation;
    if (version !== undefined && changes.has(version)) {
      return `version ${version} was accepted twice`;
    }
    if (version !== undefined && version !== (operation.base ?? -1) + 1) {
      return `version ${version} does not follow its base ${operation.base}`;
    }
    if (version !== undefined) {
      changes.set(version, operation);
    }
  }
  return orderViolation(history, changes, first);
}

function orderViolation(
  history: readonly Operation[],
  changes: ReadonlyMap<number, Operation>,
  first: number,
): string | undefined {
  const reads = readsByVersion(history);
  const last = Math.max(first, ...changes.keys(), ...reads.keys());
  let time = -Infinity;
  for (let version = first; version <= last; version += 1) {
    if (version > first) {
      const change = changes.get(version) ?? unansweredChange(history, version);
      if (change === undefined) {
        return `version ${version} was made by no change`;
      }
      time = Math.max(time, change.startedAt);
      if (time > change.endedAt) {
        return `version ${version} came after its change had been answered`;
      }
    }
    const observations = reads.get(version) ?? [];
    const early = observations.find(({ endedAt }) => endedAt < time);
    if (early !== undefined) {
      return `${early.operator} saw version ${version} before it was made`;
    }
    time = Math.max(time, ...observations.map((one) => one.startedAt));
  }
  return undefined;
}

/** Observations by version. */
function readsByVersion(
  history: readonly Operation[],
): Map<number, Operation[]> {
  const reads = new Map<number, Operation[]>();
  for (const operation of history) {
    if (operation.kind === "see" && operation.version !== undefined) {
      const same = reads.get(operation.version) ?? [];
      reads.set(operation.version, [...same, operation]);
    }
  }
  return reads;
}

/** A change without an answer may have made a version at any time after it began. */
function unansweredChange(
  history: readonly Operation[],
  version: number,
): Operation | undefined {
  const candidates = history.filter((one) =>
    one.kind === "change" && one.version === undefined &&
    one.base === version - 1
  );
  const startedAt = Math.min(...candidates.map((one) => one.startedAt));
  const [some] = candidates;
  return some && { ...some, startedAt, endedAt: Infinity };
}
