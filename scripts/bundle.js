// Bundles the platform program, with V8's code cache beside it: npm run bundle [-- --outdir FOLDER]
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { build } from "esbuild";

const { values } = parseArgs({
  options: { outdir: { type: "string", default: "target" } },
});
const root = fileURLToPath(new URL("..", import.meta.url));

/** The main file of ts-results is a UMD module, whose require calls cannot be bundled; its ES modules can. */
const tsResultsPlugin = {
  name: "result modules",
  setup(bundler) {
    const namespace = "results";
    bundler.onResolve({ filter: /^ts-results$/ }, ({ path }) => ({
      path,
      namespace,
    }));
    bundler.onLoad({ filter: /.*/, namespace }, () => ({
      resolveDir: root,
      contents:
        `import { Err, Ok } from "./node_modules/ts-results/esm/index.js";
        export default { Err, Ok };`,
    }));
  },
};

await build({
  absWorkingDir: root,
  entryPoints: { "quetzalcove-node": "platform/src/main.ts" },
  outdir: values.outdir,
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  // The code cache covers classic scripts only.
  format: "cjs",
  target: "node20",
  minifySyntax: true,
  legalComments: "none",
  logLevel: "warning",
  plugins: [tsResultsPlugin],
  alias: {
    "@quetzalcove/core/scheduling": "./packages/core/src/scheduling/mod.ts",
    "@quetzalcove/daemon/scheduler": "./packages/daemon/src/scheduler/mod.ts",
    "@quetzalcove/core": "./packages/core/src/mod.ts",
  },
});

const program = join(resolve(root, values.outdir), "quetzalcove-node.mjs");
/** Flags of the roles in deploy/system.toml; V8 takes a code cache only under the flags that it was written with. */
const ROLE_FLAGS = [
  ["--max-old-space-size=160"],
  ["--max-old-space-size=200"],
];
copyFileSync(join(root, "platform/src/code_cache_loader.mjs"), program);
for (const flags of ROLE_FLAGS) {
  execFileSync(process.execPath, [...flags, program, "--write-code-cache"], {
    stdio: ["ignore", "ignore", "inherit"],
  });
}
