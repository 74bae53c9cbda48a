import { expect, test } from "vitest";
import { measure } from "../src/waves/measure.ts";
import { noRule, oneAtATime, waves } from "../src/waves/policy.ts";
import { accra, bern } from "../src/waves/shape.ts";

const OPTIONS = { seed: 5, limitMs: 86_400_000, clock: (): number => 0 };
const SHAPE = { ...accra(0.38), tickMs: 5_000 };

test("a run depends on its seed alone", () => {
  const first = measure(SHAPE, waves, OPTIONS);
  const second = measure(SHAPE, waves, OPTIONS);
  const other = measure(SHAPE, waves, { ...OPTIONS, seed: 6 });
  expect(second).toEqual(first);
  expect(other.rolloutMinutes).not.toBe(first.rolloutMinutes);
});

test("the buffer is what a policy needs when a further zone is lost", () => {
  const quiet = { ...OPTIONS, seed: 0 };
  const [wide, narrow] = [noRule, oneAtATime].map((policy) =>
    measure(SHAPE, policy, quiet).buffer
  );
  expect(wide).toBe(Number.POSITIVE_INFINITY);
  expect(narrow).toBeCloseTo(7 / 3 - 1);
});

test("a fleet without enough capacity for a zone and a VM is left alone", () => {
  const figures = measure({ ...SHAPE, load: 0.6 }, waves, {
    ...OPTIONS,
    limitMs: 7_200_000,
  });
  expect(figures).toMatchObject({ complete: false, breaches: 0, moves: 0 });
});

test("no VM of Bern is out after its window", () => {
  const shape = { ...bern(0.38), startHour: 17, tickMs: 5_000 };
  const figures = measure(shape, waves, { ...OPTIONS, limitMs: 14_400_000 });
  expect(figures).toMatchObject({ complete: false, outsideMinutes: 0 });
  expect(figures.moves).toBeGreaterThan(0);
});
