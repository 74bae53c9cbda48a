import { defineConfig, mergeConfig } from "vitest/config";
import shared from "./vitest.config.ts";

const config = mergeConfig(
  shared,
  defineConfig({ test: { testTimeout: 24 * 3_600_000, maxWorkers: 1 } }),
);

export default {
  ...config,
  test: {
    ...config.test,
    projects: undefined,
    include: ["test/torture/*_test.ts"],
    exclude: ["**/node_modules/**", "**/dist/**"],
  },
};
