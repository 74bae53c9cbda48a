import { describe, expect, it } from "vitest";
import {
  applyLedger,
  attemptOf,
  emptyLedger,
  type Ledger,
  type LedgerCommand,
} from "../src/ledger.ts";

const begin = {
  kind: "ledger.begin",
  key: "caller/key",
  digest: "digest",
  attempt: "first",
  entry: "e1",
  incarnation: 1,
  service: "intake",
  at: 1,
} as const;

function ledgerAfter(commands: readonly LedgerCommand[]): Ledger {
  const ledger = emptyLedger();
  for (const command of commands) {
    applyLedger(ledger, command);
  }
  return ledger;
}

const lost: LedgerCommand = {
  kind: "ledger.lose",
  key: begin.key,
  attempt: begin.attempt,
  at: 2,
};

describe("a settlement", () => {
  it.each(["ran", "not run"] as const)(
    "as %s succeeds when retried after its first answer was lost",
    (outcome) => {
      const ledger = ledgerAfter([begin, lost]);
      const settle: LedgerCommand = {
        kind: "ledger.settle",
        key: begin.key,
        attempt: begin.attempt,
        outcome,
        at: 3,
      };
      const answers = [
        applyLedger(ledger, settle),
        applyLedger(ledger, settle),
      ];
      expect(answers.map((answer) => answer.ok && answer.val.kind)).toEqual([
        "recorded",
        "recorded",
      ]);
    },
  );

  it.each(["ran", "not run"] as const)(
    "as %s succeeds when retried with the key alone",
    (outcome) => {
      const ledger = ledgerAfter([begin, lost]);
      const settle: LedgerCommand = {
        kind: "ledger.settle",
        key: begin.key,
        outcome,
        at: 3,
      };
      const answers = [
        applyLedger(ledger, settle),
        applyLedger(ledger, settle),
      ];
      expect(answers.map((answer) => answer.ok)).toEqual([true, true]);
    },
  );

  it("is refused when it contradicts the first one", () => {
    const ledger = ledgerAfter([begin, lost]);
    const settle = { kind: "ledger.settle", key: begin.key, at: 3 } as const;
    applyLedger(ledger, { ...settle, outcome: "ran" });
    const answer = applyLedger(ledger, { ...settle, outcome: "not run" });
    expect(answer.err && answer.val.kind).toBe("conflict");
  });

  it("does not affect a later attempt when it is retried", () => {
    const ledger = ledgerAfter([begin, lost]);
    const settle: LedgerCommand = {
      kind: "ledger.settle",
      key: begin.key,
      attempt: begin.attempt,
      outcome: "not run",
      at: 3,
    };
    applyLedger(ledger, settle);
    applyLedger(ledger, { ...begin, attempt: "second" });
    applyLedger(ledger, { ...lost, attempt: "second" });
    applyLedger(ledger, settle);
    expect(attemptOf(ledger, begin.key)).toMatchObject({
      attempt: "second",
      phase: "unknown",
    });
  });

  it("as not run causes a late begin to be refused", () => {
    const ledger = ledgerAfter([begin, lost]);
    applyLedger(ledger, {
      kind: "ledger.settle",
      key: begin.key,
      outcome: "not run",
      at: 3,
    });
    const late = applyLedger(ledger, begin);
    expect(late.err && late.val.kind).toBe("fenced");
  });
});
