/**
 * Recorded histories of configuration changes, and a check that they are linearizable.
 *
 * The object is a version counter with compare-and-set, so the order of its states is known. For such an object the
 * general search (Wing and Gong, 1993) becomes a single pass: each change and each read is placed at the earliest time
 * that its interval and the order of the versions allow.
 *
 * @module
 */

/** An operation, from its first attempt to its last answer. */
export interface Operation {
  operator: string;
  /** `change` advances a version to the next one; `read` returns a version. */
  kind: "change" | "read";
  /** The version after an accepted change, or the version read; undefined if there was no answer. */
  version: number | undefined;
  /** The version that a change is based on. */
  base?: number;
  startedAt: number;
  endedAt: number;
}

/**
 * Describes a violation of linearizability; undefined if the history is linearizable. `initialVersion` is the version
 * before the history.
 */
export function linearizabilityViolation(
  history: readonly Operation[],
  initialVersion: number,
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
  return orderViolation(history, changes, initialVersion);
}

function orderViolation(
  history: readonly Operation[],
  changes: ReadonlyMap<number, Operation>,
  initialVersion: number,
): string | undefined {
  const reads = readsByVersion(history);
  const last = Math.max(initialVersion, ...changes.keys(), ...reads.keys());
  let time = -Infinity;
  for (let version = initialVersion; version <= last; version += 1) {
    if (version > initialVersion) {
      const change = changes.get(version) ?? unansweredChange(history, version);
      if (change === undefined) {
        return `version ${version} was created by no recorded change`;
      }
      time = Math.max(time, change.startedAt);
      if (time > change.endedAt) {
        return `the change to version ${version} was answered before that version could exist`;
      }
    }
    const versionReads = reads.get(version) ?? [];
    const early = versionReads.find(({ endedAt }) => endedAt < time);
    if (early !== undefined) {
      return `${early.operator} read version ${version} before it was created`;
    }
    time = Math.max(time, ...versionReads.map((one) => one.startedAt));
  }
  return undefined;
}

/** Reads by the version that they returned. */
function readsByVersion(
  history: readonly Operation[],
): Map<number, Operation[]> {
  const reads = new Map<number, Operation[]>();
  for (const operation of history) {
    if (operation.kind === "read" && operation.version !== undefined) {
      const same = reads.get(operation.version) ?? [];
      reads.set(operation.version, [...same, operation]);
    }
  }
  return reads;
}

/** A change without an answer, which may have created the version at any time after the change started. */
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
