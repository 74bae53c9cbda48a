import { expect, it } from "vitest";
import type { Connection } from "../src/link/connection.ts";
import { Hello } from "../src/link/hello.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { isOutdated, PeerBuilds } from "../src/scheduler/build.ts";

const OWN = { id: "b1", revision: "f7522d2" };

interface Recording {
  builds: PeerBuilds;
  metrics: Metrics;
  warnings: string[];
}

function create(): Recording {
  const warnings: string[] = [];
  const ignore = (): void => {};
  const metrics = new Metrics();
  const builds = new PeerBuilds(OWN, metrics, {
    debug: ignore,
    info: ignore,
    warn: (event, fields) =>
      warnings.push(`${event} ${JSON.stringify(fields)}`),
    error: ignore,
  });
  return { builds, metrics, warnings };
}

function openConnection(): Connection & { isOpen: boolean } {
  return { isOpen: true } as Connection & { isOpen: boolean };
}

// Guards against a deployment in which some processes run another program and nothing tells.
it("a peer that runs another build is logged, listed and counted while it is connected", () => {
  const { builds, metrics, warnings } = create();
  const other = openConnection();
  builds.record(openConnection(), { host: "10.0.0.1", build: "b1" });
  builds.record(other, { host: "10.0.0.2", build: "b2" });
  builds.record(other, { host: "10.0.0.3", build: "b3" });
  expect([builds.others(), warnings]).toMatchInlineSnapshot(`
    [
      [
        {
          "build": "b2",
          "host": "10.0.0.2",
        },
      ],
      [
        "peer.other_build {"peer":"10.0.0.2","build":"b2","ownBuild":"b1"}",
      ],
    ]
  `);
  expect(metrics.text().split("\n").filter((line) => line.startsWith("quetz")))
    .toMatchInlineSnapshot(`
      [
        "quetzalcove_build_info{build="b1",revision="f7522d2"} 1",
        "quetzalcove_peers{build="b1"} 1",
        "quetzalcove_peers{build="b2"} 1",
      ]
    `);

  other.isOpen = false;
  expect(builds.others()).toEqual([]);
  expect(metrics.text()).not.toContain('build="b2"');
});

// Guards against strangers who make a replica hold what they send as their names.
it("a hello with a long host or build is refused", () => {
  const hello = { cluster: "c", entry: "10.0.0.1", build: "0a1b2c3d4e5f" };
  const isValid = (changes: object): boolean =>
    Hello.safeParse({ ...hello, ...changes }).success;
  expect([
    isValid({}),
    isValid({ build: undefined }),
    isValid({ build: "b".repeat(65) }),
    isValid({ entry: "e".repeat(256) }),
  ]).toEqual([true, true, false, false]);
});

it("a program is outdated if the checkout is at another commit", () => {
  const checkout = "f7522d2dcd81ab0000000000000000000000000a";
  expect([
    isOutdated({ ...OWN, checkout }),
    isOutdated({ ...OWN, revision: "f7522d2-dirty", checkout }),
    isOutdated({ ...OWN, revision: "2609757", checkout }),
    isOutdated({ ...OWN, revision: "unknown", checkout }),
    isOutdated(OWN),
  ]).toEqual([false, false, true, false, false]);
});
