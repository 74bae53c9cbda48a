/**
 * Reads the input files of commands: settings, inventories, rules and asset registers.
 *
 * @module
 */
import {
  type Fault,
  fault,
  Inventory,
  parse,
  parseJson,
  parseSettings,
  type Result,
  Rules,
  type Settings,
} from "@quetzalcove/core";
import type { z } from "zod";
import { fail, type Failure, withReason } from "./failure.ts";
import { parseRegister } from "./register.ts";
import type { Runtime } from "./runtime.ts";

/** The content of an input file, by kind. */
export type InputFile =
  | { kind: "settings"; path: string; settings: Settings }
  | { kind: "inventory"; path: string; inventory: Inventory }
  | { kind: "rules"; path: string; rules: Rules };

/** Reads an inventory. */
export async function readInventory(
  runtime: Runtime,
  path: string,
): Promise<Result<Inventory, Failure>> {
  const text = await runtime.readText(path);
  return withReason(
    "input",
    text.andThen((t) => parseJsonAs(Inventory, t, path)),
  );
}

/** Reads rules. */
export async function readRules(
  runtime: Runtime,
  path: string,
): Promise<Result<Rules, Failure>> {
  const text = await runtime.readText(path);
  return withReason("input", text.andThen((t) => parseJsonAs(Rules, t, path)));
}

/** Reads an asset register. */
export async function readRegister(
  runtime: Runtime,
  path: string,
): Promise<Result<Inventory, Failure>> {
  const text = await runtime.readText(path);
  return withReason("input", text.andThen((t) => parseRegister(t, path)));
}

/** Reads a file of any kind. The kind of a JSON file is detected from its keys. */
export async function readInputFile(
  runtime: Runtime,
  path: string,
): Promise<Result<InputFile, Failure>> {
  if (path.endsWith(".csv")) {
    return (await readRegister(runtime, path)).map((inventory) => ({
      kind: "inventory",
      path,
      inventory,
    }));
  }
  const text = await runtime.readText(path);
  if (text.err) {
    return fail("input", text.val);
  }
  return withReason("input", readJson(text.val, path));
}

function readJson(text: string, path: string): Result<InputFile, Fault> {
  return parseJson(text, path).andThen((value): Result<InputFile, Fault> => {
    switch (kindOf(value)) {
      case "settings":
        return parseSettings(text, path).map((settings) => ({
          kind: "settings",
          path,
          settings,
        }));
      case "inventory":
        return parse(Inventory, value, path).map((inventory) => ({
          kind: "inventory",
          path,
          inventory,
        }));
      case "rules":
        return parse(Rules, value, path).map((rules) => ({
          kind: "rules",
          path,
          rules,
        }));
      default:
        return fail("input", unknownKind(path)).mapErr((f) => f.fault);
    }
  });
}

function unknownKind(path: string): Fault {
  return fault(
    "invalid",
    `${path} contains neither settings nor an inventory nor rules`,
    {
      path,
      remedy:
        'Settings have the key "listen", inventories "vms", rules "services" or "maintenance"',
    },
  );
}

/** Keys that only one kind of file has. */
const DISTINCTIVE_KEYS: Record<InputFile["kind"], readonly string[]> = {
  settings: ["listen", "entry", "cluster", "peers"],
  inventory: ["vms", "racks", "pools", "zones"],
  rules: ["services", "maintenance", "sharing", "teams"],
};

function kindOf(value: unknown): InputFile["kind"] | undefined {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return undefined;
  }
  const kinds = Object.keys(DISTINCTIVE_KEYS) as InputFile["kind"][];
  return kinds.find((kind) =>
    DISTINCTIVE_KEYS[kind].some((key) => key in value)
  );
}

function parseJsonAs<T extends z.ZodType>(
  schema: T,
  text: string,
  path: string,
): Result<z.output<T>, Fault> {
  return parseJson(text, path).andThen((value) => parse(schema, value, path));
}
