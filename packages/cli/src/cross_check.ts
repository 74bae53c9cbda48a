/**
 * Checks of several files against each other.
 *
 * @module
 */
import {
  Err,
  type Finding,
  groupBy,
  invalid,
  type Inventory,
  Ok,
  type Result,
  type Rules,
  validate,
} from "@quetzalcove/core";
import { fail, type Failure } from "./failure.ts";
import { compareNames, formatCount } from "./format.ts";
import type { InputFile } from "./input_files.ts";

type FileOfKind<K extends InputFile["kind"]> = Extract<InputFile, { kind: K }>;

/** Checks files against each other; returns warnings, or a failure that lists every inconsistency. */
export function crossCheck(
  files: readonly InputFile[],
): Result<Finding[], Failure> {
  const settings = files.filter((f): f is FileOfKind<"settings"> =>
    f.kind === "settings"
  );
  const inventories = files.filter((f): f is FileOfKind<"inventory"> =>
    f.kind === "inventory"
  );
  const rules = files.filter((f): f is FileOfKind<"rules"> =>
    f.kind === "rules"
  );
  const findings = [
    ...duplicateKinds(inventories, "inventory"),
    ...duplicateKinds(rules, "rules"),
    ...clusterMismatches(settings),
    ...unknownZones(settings, inventories),
  ];
  if (findings.length > 0) {
    return fail("input", invalid("The set of files", findings));
  }
  const inventory = inventories[0]?.inventory;
  const checkedRules = rules[0]?.rules;
  if (inventory !== undefined && checkedRules !== undefined) {
    const valid = validate(inventory, checkedRules);
    if (valid.err) {
      return Err({ reason: "input", fault: valid.val });
    }
    return Ok([
      ...servicesWithoutVms(inventory, checkedRules),
      ...replicaSpreadWarnings(settings),
    ]);
  }
  return Ok(replicaSpreadWarnings(settings));
}

function duplicateKinds(
  files: readonly InputFile[],
  kind: InputFile["kind"],
): Finding[] {
  return files.slice(1).map(({ path }) => ({
    path,
    message: `is a second file of kind ${kind}, after ${
      files[0]?.path
    }; check one at a time`,
  }));
}

/** The daemons of a cluster must have distinct names and identical peer lists. */
function clusterMismatches(
  files: readonly FileOfKind<"settings">[],
): Finding[] {
  const [first, ...others] = files;
  if (first === undefined) {
    return [];
  }
  const findings: Finding[] = [];
  const entries = new Map([[first.settings.entry, first.path]]);
  for (const { path, settings } of others) {
    const earlier = entries.get(settings.entry);
    if (earlier !== undefined) {
      findings.push({
        path: `${path}: entry`,
        message: `"${settings.entry}" is also the entry of ${earlier}`,
      });
    }
    entries.set(settings.entry, path);
    if (settings.cluster !== first.settings.cluster) {
      findings.push({
        path: `${path}: cluster`,
        message:
          `"${settings.cluster}" is not "${first.settings.cluster}" as in ${first.path}`,
      });
    }
    if (peersText(settings) !== peersText(first.settings)) {
      findings.push({
        path: `${path}: peers`,
        message: `differ from those in ${first.path}`,
      });
    }
  }
  return findings;
}

function peersText(settings: FileOfKind<"settings">["settings"]): string {
  const sorted = settings.peers.toSorted((a, b) =>
    compareNames(a.entry, b.entry)
  );
  return JSON.stringify(sorted);
}

function unknownZones(
  settings: readonly FileOfKind<"settings">[],
  inventories: readonly FileOfKind<"inventory">[],
): Finding[] {
  const inventory = inventories[0];
  if (inventory === undefined) {
    return [];
  }
  const zones = inventory.inventory.zones.map((zone) => zone.name);
  return settings
    .filter((file) => !zones.includes(file.settings.zone))
    .map((file) => ({
      path: `${file.path}: zone`,
      message: `"${file.settings.zone}" is not a zone of ${inventory.path} (${
        zones.join(", ")
      })`,
    }));
}

function servicesWithoutVms(inventory: Inventory, rules: Rules): Finding[] {
  const used = new Set(inventory.vms.map((vm) => vm.pool));
  return rules.services.flatMap((service, index) =>
    used.has(service.pool) ? [] : [{
      path: `rules.services[${index}].pool`,
      message: `pool "${service.pool}" of service "${service.name}" has no VM`,
    }]
  );
}

/** The loss of one zone must leave a majority of the replicas. */
function replicaSpreadWarnings(
  files: readonly FileOfKind<"settings">[],
): Finding[] {
  const [first] = files;
  const replicas = first?.settings.peers.filter((peer) => peer.replica) ?? [];
  if (first === undefined || replicas.length === 0) {
    return [];
  }
  const findings: Finding[] = [];
  if (replicas.length % 2 === 0) {
    findings.push({
      path: `${first.path}: peers`,
      message: `${
        formatCount(replicas.length, "replica")
      } tolerate no more failures than ${replicas.length - 1}`,
    });
  }
  const zones = groupBy(replicas, (peer) => peer.zone);
  for (const [zone, members] of zones) {
    if (members.length * 2 >= replicas.length) {
      findings.push({
        path: `${first.path}: peers`,
        message:
          `zone "${zone}" holds ${members.length} of ${replicas.length} replicas; if it fails, no change is accepted`,
      });
    }
  }
  return findings;
}
