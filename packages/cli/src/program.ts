/**
 * Runs one command line: parses it, runs the command or prints its help, and reports the result or the failure.
 *
 * @module
 */
import { Err, nearestSuggestion, Ok, type Result } from "@quetzalcove/core";
import { type CAC, cac } from "cac";
import { AdminClient, parseAddresses } from "./admin_client.ts";
import {
  normalizeArguments,
  optionName,
  readOptions,
  removePrefix,
} from "./arguments.ts";
import type { Command, Invocation, Option, Options } from "./command.ts";
import { COMMANDS } from "./commands/mod.ts";
import {
  describeFailure,
  EXIT_CODES,
  type Failure,
  usageFailure,
} from "./failure.ts";
import { describeCommand, describeTool, GLOBAL_OPTIONS } from "./help.ts";
import type { Runtime } from "./runtime.ts";

export const VERSION = "0.1.0";

/** Runs one command line and returns the exit code. */
export async function run(
  words: readonly string[],
  runtime: Runtime,
): Promise<number> {
  const command = COMMANDS.find((candidate) => words[0] === candidate.name);
  if (command === undefined) {
    return runWithoutCommand(words, runtime);
  }
  const line = parseCommandLine(words, command);
  if (line.err) {
    return reportFailure(line.val, runtime, words.includes("--json"));
  }
  const { args, options } = line.val;
  if (options.flag("help")) {
    runtime.print(describeCommand(command));
    return EXIT_CODES.ok;
  }
  return await execute(command, { args, options, runtime });
}

function runWithoutCommand(
  words: readonly string[],
  runtime: Runtime,
): number {
  const [first] = words;
  if (first === "--version" || first === "-v") {
    runtime.print(`quetzalcove ${VERSION}\n`);
    return EXIT_CODES.ok;
  }
  if (first === "--help" || first === "-h" || first === "help") {
    runtime.print(describeTool(COMMANDS));
    return EXIT_CODES.ok;
  }
  const names = COMMANDS.map((command) => command.name);
  const message = first === undefined
    ? "A command is missing"
    : first.startsWith("-")
    ? `The command comes first, before ${first}`
    : `Unknown command "${first}"${nearestSuggestion(first, names)}`;
  const failure = usageFailure(
    message,
    "quetzalcove --help lists the commands",
  );
  return reportFailure(failure, runtime, words.includes("--json"));
}

/** A parsed command line. */
interface CommandLine {
  args: readonly string[];
  options: Options;
}

function parseCommandLine(
  words: readonly string[],
  command: Command,
): Result<CommandLine, Failure> {
  const options = [...command.options, ...GLOBAL_OPTIONS];
  return normalizeArguments(words.slice(1), options).andThen((normal) => {
    const cli = declareCommand(command, options);
    try {
      const parsed = cli.parse(["", "", command.name, ...normal], {
        run: false,
      });
      const line = {
        args: parsed.args.map((argument) => removePrefix(String(argument))),
        options: readOptions(parsed.options),
      };
      if (!line.options.flag("help")) {
        cli.runMatchedCommand();
      }
      return Ok(line);
    } catch (error) {
      const remedy = `quetzalcove ${command.name} --help shows the usage`;
      return Err(
        usageFailure(formatParserError((error as Error).message), remedy),
      );
    }
  });
}

/** Declares a command to `cac`. Running its empty action makes `cac` check the number of arguments. */
function declareCommand(command: Command, options: readonly Option[]): CAC {
  const cli = cac("quetzalcove");
  const declared = cli
    .command(`${command.name} ${command.parameters}`, command.summary)
    .action(() => {});
  for (const option of options) {
    declared.option(option.flags, optionName(option));
  }
  return cli;
}

/** Turns a message of `cac` into the style of the other messages: capitalized, names in double quotes. */
function formatParserError(message: string): string {
  const text = message.replaceAll("`:", '"').replaceAll("`", '"');
  return text.slice(0, 1).toUpperCase() + text.slice(1);
}

const DEFAULT_TIMEOUT_S = 30;
const MS_PER_SECOND = 1_000;

async function execute(
  command: Command,
  line: CommandLine & { runtime: Runtime },
): Promise<number> {
  const { args, options, runtime } = line;
  const json = options.flag("json");
  const timeout = options.count("timeout");
  if (timeout.err) {
    return reportFailure(timeout.val, runtime, json);
  }
  let client: AdminClient | undefined;
  const invocation: Invocation = {
    runtime,
    args,
    options,
    json,
    timeoutMs: (timeout.val ?? DEFAULT_TIMEOUT_S) * MS_PER_SECOND,
    connect: () =>
      addressesOf(options, runtime).map((addresses) =>
        client ??= new AdminClient(addresses)
      ),
  };
  try {
    const outcome = await command.run(invocation);
    if (outcome.err) {
      return reportFailure(outcome.val, runtime, json);
    }
    const { text, data } = outcome.val;
    const asJson = json && data !== undefined;
    runtime.print(asJson ? `${JSON.stringify(data, null, 2)}\n` : text);
    return EXIT_CODES.ok;
  } finally {
    await client?.close();
  }
}

function addressesOf(
  options: Options,
  runtime: Runtime,
): Result<string[], Failure> {
  const text = options.text("admin") ?? runtime.environment.QUETZALCOVE_ADMIN;
  if (text === undefined || text === "") {
    return Err(
      usageFailure(
        "No admin address is given",
        "Give --admin HOST:PORT or set QUETZALCOVE_ADMIN",
      ),
    );
  }
  return parseAddresses(text);
}

function reportFailure(
  failure: Failure,
  runtime: Runtime,
  json: boolean,
): number {
  const exit = EXIT_CODES[failure.reason];
  runtime.printError(
    json
      ? `${JSON.stringify({ exit, ...failure }, null, 2)}\n`
      : describeFailure(failure),
  );
  return exit;
}
