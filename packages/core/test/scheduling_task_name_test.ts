import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseTaskName, taskName } from "@quetzalcove/core/scheduling";

const Count = fc.nat();

describe("the name of a task", () => {
  it("is parsed into the position that it was made of", () => {
    fc.assert(
      fc.property(
        fc.stringMatching(/^[^.]+$/),
        Count,
        Count,
        Count,
        (job, round, step, index) => {
          const position = { job, round, step, index };
          expect(parseTaskName(taskName(position))).toEqual(position);
        },
      ),
    );
  });

  it("is refused if it is malformed", () => {
    const names = [
      "",
      ".",
      "...",
      "j",
      "j.0.0",
      ".0.0.0",
      "j.0.0.",
      "j..0.0",
      "j.0.0.0.0",
      "j.0.-1.0",
      "j.0.1e3.0",
      "j.x.0.0",
    ];
    expect(names.filter((name) => parseTaskName(name) !== undefined))
      .toEqual([]);
  });
});
