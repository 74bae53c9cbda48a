import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

function source(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

/** Tests that fill the memory of a process; they run one at a time, after all others. */
const CLIENT_TESTS = [
  "platform/test/clients/**/*_test.ts",
  "test/clients/**/*_test.ts",
];

export default defineConfig({
  resolve: {
    alias: {
      "@quetzalcove/core/scheduling": source(
        "packages/core/src/scheduling/mod.ts",
      ),
      "@quetzalcove/daemon/scheduler": source(
        "packages/daemon/src/scheduler/mod.ts",
      ),
      "@quetzalcove/core": source("packages/core/src/mod.ts"),
      "@quetzalcove/daemon": source("packages/daemon/src/mod.ts"),
      "@quetzalcove/cli": source("packages/cli/src/mod.ts"),
      "@quetzalcove/emulator": source("packages/emulator/src/mod.ts"),
    },
  },
  test: {
    setupFiles: [source("test/harness/memory_folder.ts")],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 3,
    projects: [
      {
        extends: true,
        test: {
          name: "tests",
          include: [
            "packages/*/test/**/*_test.ts",
            "bench/test/**/*_test.ts",
            "platform/test/**/*_test.ts",
            "test/**/*_test.ts",
          ],
          exclude: [
            "test/torture/**",
            "**/node_modules/**",
            "**/dist/**",
            ...CLIENT_TESTS,
          ],
          maxWorkers: 3,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "clients",
          include: CLIENT_TESTS,
          testTimeout: 120_000,
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
