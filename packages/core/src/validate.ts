/**
 * Schema parsing, and checks of an inventory with its rules: duplicate names, references and sharing of pools.
 *
 * @module
 */
import type { z } from "zod";
import { type Fault, fault } from "./fault.ts";
import type { Inventory } from "./inventory.ts";
import { Err, Ok, type Result } from "./result.ts";
import type { Rules } from "./rules.ts";
import { keysAt } from "./schema_keys.ts";

/** An offending value: its path and what is wrong with it. */
export interface Finding {
  path: string;
  message: string;
}

/** Parses a value against a schema; the fault lists every finding with its path and the nearest known key. */
export function parse<T extends z.ZodType>(
  schema: T,
  value: unknown,
  what: string,
): Result<z.output<T>, Fault> {
  const parsed = schema.safeParse(value, { reportInput: true });
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const causes = parsed.error.issues.flatMap((issue) =>
    toFindings(issue, schema)
  );
  return Err(invalid(what, causes));
}

/** A fault that lists findings. */
export function invalid(what: string, causes: Finding[]): Fault {
  const [first] = causes;
  const more = causes.length > 1 ? ` (and ${causes.length - 1} more)` : "";
  return fault(
    "invalid",
    `${what} is invalid: ${first?.path}: ${first?.message}${more}`,
    {
      path: first?.path ?? "",
      causes,
    },
  );
}

/** Issue codes that zod also reports for missing values. */
const MISSING_CODES: readonly string[] = ["invalid_type", "invalid_value"];

/** The findings of an issue: one for each unknown key, else one. */
export function toFindings(
  issue: z.core.$ZodIssue,
  schema: z.ZodType,
): Finding[] {
  const path = pathOf(issue.path);
  if (issue.code === "unrecognized_keys") {
    const known = keysAt(schema, issue.path);
    return issue.keys.map((key) => ({
      path: path === "$" ? key : `${path}.${key}`,
      message: `unknown key "${key}"${nearestSuggestion(key, known)}`,
    }));
  }
  if (issue.input === undefined && MISSING_CODES.includes(issue.code)) {
    return [{ path, message: "is required, but missing" }];
  }
  return [{ path, message: issue.message.replace(/^Invalid input: /, "") }];
}

/** Formats a path of keys and indices as `vms[3].rack`; `$` is the root. */
export function pathOf(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    text += typeof part === "number"
      ? `[${part}]`
      : `${text === "" ? "" : "."}${String(part)}`;
  }
  return text === "" ? "$" : text;
}

/** Checks that names are unique, that references exist and that only services of a sharing group share a pool. */
export function validate(
  inventory: Inventory,
  rules: Rules,
): Result<void, Fault> {
  const findings = [
    ...duplicates(inventory.zones, "inventory.zones"),
    ...duplicates(inventory.racks, "inventory.racks"),
    ...duplicates(inventory.pools, "inventory.pools"),
    ...duplicates(inventory.vms, "inventory.vms"),
    ...duplicates(rules.services, "rules.services"),
    ...duplicates(rules.teams, "rules.teams"),
    ...references(inventory, rules),
    ...unapprovedSharing(rules),
  ];
  return findings.length === 0
    ? Ok.EMPTY
    : Err(invalid("Configuration", findings));
}

function duplicates(
  items: readonly { name: string }[],
  path: string,
): Finding[] {
  const first = new Map<string, number>();
  const findings: Finding[] = [];
  items.forEach((item, index) => {
    const earlier = first.get(item.name);
    if (earlier === undefined) {
      first.set(item.name, index);
    } else {
      findings.push({
        path: `${path}[${index}].name`,
        message:
          `"${item.name}" is listed twice, first at ${path}[${earlier}]; remove one`,
      });
    }
  });
  return findings;
}

function references(inventory: Inventory, rules: Rules): Finding[] {
  const zones = namesOf(inventory.zones);
  const racks = namesOf(inventory.racks);
  const pools = namesOf(inventory.pools);
  const services = namesOf(rules.services);
  const findings: Finding[] = [];
  const requireKnown = (
    known: Set<string>,
    name: string,
    path: string,
    what: string,
  ): void => {
    if (!known.has(name)) {
      findings.push({
        path,
        message: `${what} "${name}" does not exist${
          nearestSuggestion(name, known)
        }`,
      });
    }
  };
  inventory.racks.forEach((r, i) =>
    requireKnown(zones, r.zone, `inventory.racks[${i}].zone`, "zone")
  );
  inventory.vms.forEach((vm, i) => {
    requireKnown(racks, vm.rack, `inventory.vms[${i}].rack`, "rack");
    requireKnown(pools, vm.pool, `inventory.vms[${i}].pool`, "pool");
  });
  rules.services.forEach((s, i) =>
    requireKnown(pools, s.pool, `rules.services[${i}].pool`, "pool")
  );
  rules.sharing.forEach((group, i) =>
    group.forEach((name, j) =>
      requireKnown(services, name, `rules.sharing[${i}][${j}]`, "service")
    )
  );
  return findings;
}

function unapprovedSharing(rules: Rules): Finding[] {
  const findings: Finding[] = [];
  rules.services.forEach((service, index) => {
    const other = rules.services.slice(0, index).find((s) =>
      s.pool === service.pool
    );
    if (other !== undefined && !mayShare(rules, service.name, other.name)) {
      findings.push({
        path: `rules.services[${index}].pool`,
        message:
          `services "${other.name}" and "${service.name}" share pool "${service.pool}"; add them to one group of rules.sharing or use two pools`,
      });
    }
  });
  return findings;
}

function mayShare(rules: Rules, a: string, b: string): boolean {
  return rules.sharing.some((group) => group.includes(a) && group.includes(b));
}

function namesOf(items: readonly { name: string }[]): Set<string> {
  return new Set(items.map((item) => item.name));
}

/** A suffix that suggests the known name nearest to `name`; empty when none is near. */
export function nearestSuggestion(
  name: string,
  known: Iterable<string>,
): string {
  // Suggesting a name that differs in more than half of a short one would mislead.
  const maxDistance = Math.min(3, Math.ceil(name.length / 2));
  let best: string | undefined;
  let bestDistance = maxDistance + 1;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best === undefined ? "" : `; did you mean "${best}"?`;
}

/** Levenshtein distance (Wagner and Fischer, 1974). */
export function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, j) => j);
  for (let i = 1; i <= a.length; i++) {
    const row = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = (previous[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      row.push(
        Math.min(replaced, (previous[j] ?? 0) + 1, (row[j - 1] ?? 0) + 1),
      );
    }
    previous = row;
  }
  return previous[b.length] ?? 0;
}
