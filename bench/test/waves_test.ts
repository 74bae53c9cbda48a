import { expect, test } from "vitest";
import { measureRound } from "../src/waves/measure.ts";
import { allAtOnce, oneAtATime, productPolicy } from "../src/waves/policy.ts";
import { accra, bern } from "../src/waves/fleet_profile.ts";

const OPTIONS = { seed: 5, limitMs: 86_400_000, clock: (): number => 0 };
const PROFILE = { ...accra(0.38), tickMs: 5_000 };

test("a run is reproducible from its seed", () => {
  const first = measureRound(PROFILE, productPolicy, OPTIONS);
  const second = measureRound(PROFILE, productPolicy, OPTIONS);
  const other = measureRound(PROFILE, productPolicy, { ...OPTIONS, seed: 6 });
  expect(second).toEqual(first);
  expect(other.rolloutMinutes).not.toBe(first.rolloutMinutes);
});

test("the buffer is the spare capacity needed to survive the loss of one more zone", () => {
  const withoutIncident = { ...OPTIONS, seed: 0 };
  const [allAtOnceBuffer, oneAtATimeBuffer] = [allAtOnce, oneAtATime].map((
    policy,
  ) => measureRound(PROFILE, policy, withoutIncident).buffer);
  expect(allAtOnceBuffer).toBe(Number.POSITIVE_INFINITY);
  expect(oneAtATimeBuffer).toBeCloseTo(7 / 3 - 1);
});

test("no VM is drained when capacity does not cover the loss of a zone and a VM", () => {
  const metrics = measureRound({ ...PROFILE, load: 0.6 }, productPolicy, {
    ...OPTIONS,
    limitMs: 7_200_000,
  });
  expect(metrics).toMatchObject({ complete: false, breaches: 0, moves: 0 });
});

test("no VM of Bern is out of service after its maintenance window", () => {
  const profile = { ...bern(0.38), startHour: 17, tickMs: 5_000 };
  const metrics = measureRound(profile, productPolicy, {
    ...OPTIONS,
    limitMs: 14_400_000,
  });
  expect(metrics).toMatchObject({ complete: false, outsideMinutes: 0 });
  expect(metrics.moves).toBeGreaterThan(0);
});
