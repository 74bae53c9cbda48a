/**
 * Prepares a command line for `cac` and reads the options that it parsed.
 *
 * `cac` converts option values that look like numbers, which would alter a change id `007` or a key `0123`, and takes
 * the word after a flag as its value. Therefore each flag is passed as `--flag=true`, and each value and argument gets
 * a prefix that {@link removePrefix} removes again.
 *
 * @module
 */
import { Err, nearestSuggestion, Ok, type Result } from "@quetzalcove/core";
import type { Option, Options } from "./command.ts";
import { type Failure, usageFailure } from "./failure.ts";

const VALUE_PREFIX = ":";

/** Removes the prefix from an argument or a value. */
export function removePrefix(text: string): string {
  return text.slice(VALUE_PREFIX.length);
}

/** The long name of an option, for example `base` of `--base <version>`. */
export function optionName(option: Option): string {
  return /--([a-z-]+)/.exec(option.flags)?.[1] ?? option.flags;
}

function takesValue(option: Option): boolean {
  return option.flags.includes("<");
}

const SHORT_NAMES: Record<string, string> = { h: "help", v: "version" };

/** Rewrites the words after the command into a form that `cac` does not alter. */
export function normalizeArguments(
  words: readonly string[],
  options: readonly Option[],
): Result<string[], Failure> {
  const known = new Map(options.map((option) => [optionName(option), option]));
  const seen = new Set<string>();
  const normal: string[] = [];
  for (let index = 0; index < words.length; index++) {
    const word = words[index] ?? "";
    if (!word.startsWith("-") || word === "-") {
      normal.push(VALUE_PREFIX + word);
      continue;
    }
    if (word === "--") {
      const rest = words.slice(index + 1).map((argument) =>
        VALUE_PREFIX + argument
      );
      return Ok([...normal, ...rest]);
    }
    const { name, value } = splitOption(word);
    const option = known.get(name);
    if (option === undefined) {
      return Err(unknownOption(word, known.keys()));
    }
    if (seen.has(name)) {
      return Err(usageFailure(`Option --${name} is given twice`));
    }
    seen.add(name);
    if (!takesValue(option)) {
      if (value !== undefined) {
        return Err(usageFailure(`Option --${name} takes no value`));
      }
      normal.push(`--${name}=true`);
      continue;
    }
    const text = value ?? words[++index];
    if (text === undefined || text === "") {
      return Err(usageFailure(`Option ${option.flags} needs a value`));
    }
    normal.push(`--${name}=${VALUE_PREFIX}${text}`);
  }
  return Ok(normal);
}

function splitOption(word: string): { name: string; value?: string } {
  const [, dashes, name = "", value] = /^(--?)([^=]*)(?:=(.*))?$/s.exec(word) ??
    [];
  return { name: dashes === "-" ? SHORT_NAMES[name] ?? name : name, value };
}

function unknownOption(word: string, known: Iterable<string>): Failure {
  const { name } = splitOption(word);
  const hint = nearestSuggestion(name, known).replace('"', '"--');
  return usageFailure(`Unknown option ${word.split("=")[0]}${hint}`);
}

/** Reads the options that `cac` parsed. */
export function readOptions(parsed: Record<string, unknown>): Options {
  const text = (name: string): string | undefined => {
    const value = parsed[camelCase(name)];
    return typeof value === "string" ? removePrefix(value) : undefined;
  };
  return {
    // `cac` returns the string "true" for names with a hyphen; a value would have the prefix.
    flag: (name) => ["true", true].includes(parsed[camelCase(name)] as string),
    text,
    count: (name) => parseCount(name, text(name)),
  };
}

function parseCount(
  name: string,
  text: string | undefined,
): Result<number | undefined, Failure> {
  if (text === undefined) {
    return Ok(undefined);
  }
  const value = Number(text);
  if (/^\d+$/.test(text) && Number.isSafeInteger(value)) {
    return Ok(value);
  }
  return Err(
    usageFailure(`Option --${name} needs a whole number, not "${text}"`),
  );
}

function camelCase(name: string): string {
  return name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
