/**
 * The texts of `--help`.
 *
 * @module
 */
import type { Command, Option } from "./command.ts";
import { EXIT_CODES, EXIT_MEANINGS } from "./failure.ts";
import { formatFields } from "./format.ts";

export const GLOBAL_OPTIONS: readonly Option[] = [
  {
    flags: "--admin <addresses>",
    summary:
      "Admin addresses, separated by commas (or the variable QUETZALCOVE_ADMIN)",
  },
  { flags: "--json", summary: "Write the result as JSON" },
  {
    flags: "--timeout <seconds>",
    summary: "How long to wait for a condition (default 30)",
  },
  { flags: "--help", summary: "Show this help" },
  { flags: "--version", summary: "Show the version" },
];

/** The output of `quetzalcove --help`. */
export function describeTool(commands: readonly Command[]): string {
  const rows = commands.map((command) =>
    [shortSignature(command), command.summary] as const
  );
  const codes = Object.entries(EXIT_CODES).map(([reason, code]) =>
    [
      String(code),
      EXIT_MEANINGS[reason as keyof typeof EXIT_MEANINGS],
    ] as const
  );
  return [
    "quetzalcove: operate a fleet through the admin API of its daemons\n",
    "Usage:\n  quetzalcove <command> [options]\n",
    `Commands:\n${indent(formatFields(rows))}`,
    `Options of every command:\n${optionLines(GLOBAL_OPTIONS)}`,
    `Exit codes:\n${indent(formatFields(codes))}`,
    "First steps:\n" +
    "  $ quetzalcove import register.csv --out inventory.json\n" +
    "  $ quetzalcove config check inventory.json rules.json entry-1.json\n" +
    "  $ quetzalcove init --admin 127.10.1.1:8081\n" +
    "  $ export QUETZALCOVE_ADMIN=127.10.1.1:8081,127.10.2.1:8081\n" +
    "  $ quetzalcove apply --inventory inventory.json --rules rules.json --wait\n" +
    "  $ quetzalcove status\n",
    "Help on one command:\n  $ quetzalcove apply --help\n",
  ].join("\n");
}

/** The output of `quetzalcove <command> --help`. */
export function describeCommand(command: Command): string {
  const sections = [
    `quetzalcove ${command.name}: ${lowerFirst(command.summary)}\n`,
    `Usage:\n  quetzalcove ${signature(command)} [options]\n`,
    `${command.details.trim()}\n`,
  ];
  if (command.options.length > 0) {
    sections.push(`Options:\n${optionLines(command.options)}`);
  }
  sections.push(`Options of every command:\n${optionLines(GLOBAL_OPTIONS)}`);
  const examples = command.examples.map((line) => `  $ quetzalcove ${line}\n`);
  sections.push(`Examples:\n${examples.join("")}`);
  return sections.join("\n");
}

/** The signature; optional parameters are omitted. */
function shortSignature(command: Command): string {
  const optional = command.parameters.startsWith("[");
  return optional ? command.name : signature(command);
}

function signature(command: Command): string {
  return `${command.name} ${command.usage ?? command.parameters}`.trim();
}

function optionLines(options: readonly Option[]): string {
  return indent(
    formatFields(options.map((option) => [option.flags, option.summary])),
  );
}

function indent(text: string): string {
  return text.replace(/^(?=.)/gm, "  ");
}

function lowerFirst(text: string): string {
  return text.slice(0, 1).toLowerCase() + text.slice(1);
}
