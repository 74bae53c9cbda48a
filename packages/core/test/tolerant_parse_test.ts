import { describe, expect, it } from "vitest";
import { z } from "zod";
import { SchedulerSettings } from "@quetzalcove/core/scheduling";
import {
  isMisspelling,
  keysAt,
  parseSettings,
  parseTolerantly,
  readSettings,
  Settings,
  unwrap,
} from "../src/mod.ts";

const Schema = z.strictObject({
  name: z.string(),
  limits: z.strictObject({
    memoryMb: z.number().default(100),
    diskMb: z.number().optional(),
  }).prefault({}),
  peers: z.array(z.strictObject({ host: z.string() })).default([]),
});

function outcomeOf(value: unknown): unknown {
  const parsed = parseTolerantly(Schema, value, "settings.json");
  return parsed.ok
    ? {
      value: parsed.val.value,
      ignored: parsed.val.ignored.map(({ path }) => path),
    }
    : (parsed.val.causes ?? []).map(({ path, message }) =>
      `${path}: ${message}`
    );
}

// Guards against an outage of every process because of one key that belongs to another version of the program.
describe("a key that the program does not know", () => {
  it("is left out and reported, at every depth", () => {
    expect(outcomeOf({
      name: "a",
      laterKey: {},
      limits: { memoryMb: 1, answerBytes: 2 },
      peers: [{ host: "b", region: "c" }],
    })).toEqual({
      value: { name: "a", limits: { memoryMb: 1 }, peers: [{ host: "b" }] },
      ignored: ["limits.answerBytes", "peers[0].region", "laterKey"],
    });
  });

  it("stays in the value that was given", () => {
    const value = { name: "a", laterKey: 1 };
    parseTolerantly(Schema, value, "settings.json").unwrap();
    expect(value).toEqual({ name: "a", laterKey: 1 });
  });

  it("is refused if it is a misspelt form of a key that is missing", () => {
    expect([
      outcomeOf({ name: "a", limits: { memoyMb: 1 }, laterKey: 1 }),
      outcomeOf({ name: "a", limits: { memroyMb: 1 } }),
      outcomeOf({ name: "a", limits: { MEMORYMB: 1 } }),
      outcomeOf({ name: "a", limit: {} }),
    ]).toMatchInlineSnapshot(`
      [
        [
          "limits.memoyMb: unknown key "memoyMb"; did you mean "memoryMb"?",
        ],
        [
          "limits.memroyMb: unknown key "memroyMb"; did you mean "memoryMb"?",
        ],
        [
          "limits.MEMORYMB: unknown key "MEMORYMB"",
        ],
        [
          "limit: unknown key "limit"; did you mean "limits"?",
        ],
      ]
    `);
  });

  it("is left out if the key that it resembles is there as well", () => {
    expect(outcomeOf({ name: "a", limits: { memoryMb: 1, memoryMb2: 2 } }))
      .toMatchObject({ ignored: ["limits.memoryMb2"] });
  });
});

it("a bad or missing value is refused, also beside a key of another version", () => {
  expect([
    outcomeOf({ name: 1, laterKey: 1 }),
    outcomeOf({ laterKey: 1 }),
    outcomeOf({ name: "a", limits: { memoryMb: "1", answerBytes: 2 } }),
    outcomeOf([]),
  ]).toMatchInlineSnapshot(`
    [
      [
        "name: expected string, received number",
      ],
      [
        "name: is required, but missing",
      ],
      [
        "limits.memoryMb: expected number, received string",
      ],
      [
        "$: expected object, received array",
      ],
    ]
  `);
});

it("settings of a daemon are read without keys of another version, and their values are still compared", () => {
  const settings = {
    cluster: "accra",
    entry: "entry-a1",
    zone: "accra-a",
    listen: {
      service: "127.10.1.1:8080",
      admin: "127.10.1.1:8081",
      link: "127.10.1.1:8082",
    },
    dataFolder: "var",
    laterKey: true,
  };
  const text = JSON.stringify(settings);
  expect(readSettings(text, "a.json").unwrap().ignored).toEqual([
    { path: "laterKey", message: 'unknown key "laterKey"' },
  ]);
  const late = JSON.stringify({ ...settings, lease: { renewEveryMs: 9_000 } });
  expect(readSettings(late, "a.json").err).toBe(true);
  expect(parseSettings(text, "a.json").err).toBe(true);
});

/** Keys of a schema and of all schemas in it, by object. */
function keysByObject(
  schema: z.core.$ZodType,
  path: string[] = [],
): [string, string[]][] {
  const found = unwrap(schema);
  if (found instanceof z.ZodArray) {
    return keysByObject(found.element, [...path, "[]"]);
  }
  if (!(found instanceof z.ZodObject)) {
    return [];
  }
  const keys = keysAt(found, []);
  return [
    [path.join("."), keys],
    ...keys.flatMap((key) => keysByObject(found.shape[key], [...path, key])),
  ];
}

// Guards against a new key that a program without it takes for a misspelt form of an old one, and then refuses to start.
it("no two keys of the settings of one object resemble each other", () => {
  const resembling = [Settings, SchedulerSettings].flatMap((schema) =>
    keysByObject(schema).flatMap(([path, keys]) =>
      keys.flatMap((key, i) =>
        keys.slice(i + 1).filter((other) =>
          isMisspelling(key, other) || isMisspelling(other, key)
        ).map((other) => `${path}: ${key}, ${other}`)
      )
    )
  );
  expect(resembling).toEqual([]);
});
