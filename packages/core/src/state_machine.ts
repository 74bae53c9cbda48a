/**
 * The replicated state machine. Every replica applies the commands in log order; the result depends only on the state
 * and the command.
 *
 * @module
 */
import { z } from "zod";
import { applyConfiguration, ConfigureCommand } from "./configuration.ts";
import { type Fault, Fault as FaultShape } from "./fault.ts";
import { applyFleet, FleetCommand } from "./fleet.ts";
import { applyBudget, BudgetCommand } from "./maintenance/budget.ts";
import { recordPhaseChange, RolloutCommand } from "./maintenance/rollout.ts";
import { applyRollout } from "./maintenance/rollout_state_machine.ts";
import { applyLedger, LedgerCommand, LedgerOutput } from "./ledger.ts";
import { applyJobCommand } from "./placement/apply.ts";
import { JobCommand, JobOutput } from "./placement/job.ts";
import { Ok, type Result } from "./result.ts";
import type { State } from "./state.ts";

export const Command = z.union([
  ConfigureCommand,
  FleetCommand,
  LedgerCommand,
  JobCommand,
  RolloutCommand,
  BudgetCommand,
]);
export type Command = z.infer<typeof Command>;

/** The result of a command, reported to its proposer. */
export const CommandOutput = z.union([
  LedgerOutput,
  JobOutput,
  z.object({
    kind: z.literal("configured"),
    version: z.number().int(),
    revision: z.number().int(),
  }),
  z.object({ kind: z.literal("changed"), revision: z.number().int() }),
]);
export type CommandOutput = z.infer<typeof CommandOutput>;

/** An output or a fault, as sent over a link. */
export const Reply = z.union([
  z.object({ ok: z.literal(true), output: CommandOutput }),
  z.object({ ok: z.literal(false), fault: FaultShape }),
]);
export type Reply = z.infer<typeof Reply>;

/** Applies one command to the state in place. A command that fails changes nothing. */
export function apply(
  state: State,
  command: Command,
): Result<CommandOutput, Fault> {
  switch (command.kind) {
    case "configure":
      return applyConfiguration(state, command);
    case "vm.phase":
    case "vm.move":
      return changeVm(state, command);
    case "job.submit":
    case "job.cancel":
    case "job.step":
      return applyJobCommand(state, command);
    case "round.open":
    case "wave.start":
    case "wave.end":
    case "wave.resume":
    case "reboot.refused":
    case "vm.remove":
    case "vm.want":
      return applyRollout(state, command).map(changed);
    case "budget.account":
      return accountBudgets(state, command);
    default:
      return applyLedger(state.ledger, command);
  }
}

function changeVm(
  state: State,
  command: FleetCommand,
): Result<CommandOutput, Fault> {
  const revision = state.revision + 1;
  const before = state.vms[command.vm];
  return applyFleet(before, command, revision).andThen(
    (record) => {
      state.revision = revision;
      state.vms[command.vm] = record;
      const change = { before: before ?? record, after: record };
      recordPhaseChange(state.rollout, change, state.rules.maintenance);
      return Ok(changed(revision));
    },
  );
}

function accountBudgets(
  state: State,
  command: BudgetCommand,
): Result<CommandOutput, Fault> {
  const { services } = state.rules;
  applyBudget(
    state.accounts,
    command,
    (name) => services.find((s) => s.name === name)?.budget.windowMs,
  );
  return Ok(changed(state.revision));
}

function changed(revision: number): CommandOutput {
  return { kind: "changed", revision };
}
