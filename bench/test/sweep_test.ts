import { describe, expect, it } from "vitest";
import { latestSweeps } from "../src/sweep/sweep.ts";

const DIGEST = `day            own/srv  score  worth served refused failed
sweep-10         11/40   0.70  0.700  0.990   0.000  0.000  worst windows 0.99

middle / busiest or longest, by own machines
                                                          10              30  power  at null
entry: memory MB                                 31.8 / 32.2     31.9 / 40.5   0.01  -
config acked, ms                                  45.0 / 144      37.0 / 166   0.13  -
gauge with one size only                                   -     1.0 / 2.0     0.1   -
power: the busiest grows as machines to this power`;

function entry(changes: Record<string, unknown> = {}): string {
  return JSON.stringify({
    id: "aa11",
    at: ["2026-01-01T10:00:00Z", "2026-01-01T10:05:00Z"],
    cmd: "sweep",
    argv: [".../site.toml"],
    ok: true,
    digest: DIGEST,
    days: [
      { name: "sweep-30", servers: 120, served: 0.9, rules: { LOST: 1 } },
      { name: "sweep-10", servers: 40, served: 0.99, rules: {} },
    ],
    ...changes,
  });
}

describe("the sweeps of a journal", () => {
  it("have the largest value of each quantity by number of workers", () => {
    expect(latestSweeps([entry()])).toMatchInlineSnapshot(`
      [
        {
          "days": [
            {
              "brokenRules": [],
              "served": 0.99,
              "workers": 40,
            },
            {
              "brokenRules": [
                "LOST",
              ],
              "served": 0.9,
              "workers": 120,
            },
          ],
          "deployment": "site.toml",
          "id": "aa11",
          "quantities": [
            {
              "name": "entry: memory MB",
              "samples": [
                {
                  "size": 40,
                  "value": 32.2,
                },
                {
                  "size": 120,
                  "value": 40.5,
                },
              ],
            },
            {
              "name": "config acked, ms",
              "samples": [
                {
                  "size": 40,
                  "value": 144,
                },
                {
                  "size": 120,
                  "value": 166,
                },
              ],
            },
          ],
        },
      ]
    `);
  });

  it("are the last finished ones of each deployment", () => {
    const texts = [
      entry({ id: "b2", at: ["2026-01-02T10:00:00Z", "2026-01-02T10:05:00Z"] }),
      entry({ id: "a1" }),
      entry({
        id: "c3",
        at: ["2026-01-03T10:00:00Z", ""],
        ok: false,
        days: [],
      }),
      entry({ id: "d4", argv: [".../other.toml"] }),
      entry({ id: "e5", cmd: "score" }),
    ];
    expect(latestSweeps(texts).map(({ id }) => id)).toEqual(["b2", "d4"]);
  });
});
