import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

function source(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

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
    include: [
      "packages/*/test/**/*_test.ts",
      "bench/test/**/*_test.ts",
      "platform/test/**/*_test.ts",
      "test/**/*_test.ts",
    ],
    exclude: ["test/torture/**", "**/node_modules/**", "**/dist/**"],
    setupFiles: [source("test/harness/memory_folder.ts")],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 3,
  },
});
