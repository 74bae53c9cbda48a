// Bundles the platform program, with V8's code cache beside it: npm run bundle [-- --outdir FOLDER]
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { build } from "esbuild";

const { values } = parseArgs({
  options: { outdir: { type: "string", default: "target" } },
});
const root = fileURLToPath(new URL("..", import.meta.url));

/**
 * Modules that stand in for the main module of a package. The main modules of undici, hdr-histogram-js and zod load parts
 * that the program does not use (fetch, HTTP/2, compression, locales); with them a start takes a third more processor
 * time, and a process more memory.
 */
const REPLACEMENTS = new Map([
  // Its main file is a UMD module, whose require calls cannot be bundled; its ES modules can.
  [
    "ts-results",
    `import { Err, Ok } from "./node_modules/ts-results/esm/index.js";
    export default { Err, Ok };`,
  ],
  [
    "undici",
    `module.exports = {
      Pool: require("./node_modules/undici/lib/dispatcher/pool.js"),
      buildConnector: require("./node_modules/undici/lib/core/connect.js"),
    };`,
  ],
  [
    "hdr-histogram-js",
    `module.exports =
      require("./node_modules/hdr-histogram-js/dist/HistogramBuilder.js");`,
  ],
  // undici takes an error here for a Node.js without HTTP/2.
  ["node:http2", `throw new Error("HTTP/2 is not used");`],
  [
    "../locales/index.js",
    `export { default as en } from "./node_modules/zod/v4/locales/en.js";`,
  ],
]);

const replacementPlugin = {
  name: "parts of packages",
  setup(bundler) {
    const namespace = "replacement";
    bundler.onResolve(
      { filter: /.*/ },
      ({ path, namespace: from }) =>
        REPLACEMENTS.has(path) && from !== namespace
          ? { path, namespace }
          : undefined,
    );
    bundler.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      resolveDir: root,
      contents: REPLACEMENTS.get(path),
    }));
  },
};

await build({
  absWorkingDir: root,
  entryPoints: { "quetzalcove-node.bundle": "platform/src/main.ts" },
  outdir: values.outdir,
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  // The code cache covers classic scripts only.
  format: "cjs",
  target: "node20",
  minifySyntax: true,
  // Names stay, for stack traces in logs.
  minifyWhitespace: true,
  legalComments: "none",
  logLevel: "warning",
  plugins: [replacementPlugin],
  alias: {
    "@quetzalcove/core/scheduling": "./packages/core/src/scheduling/mod.ts",
    "@quetzalcove/daemon/scheduler": "./packages/daemon/src/scheduler/mod.ts",
    "@quetzalcove/core": "./packages/core/src/mod.ts",
  },
});

const program = join(resolve(root, values.outdir), "quetzalcove-node.cjs");
/** Flags of the roles; V8 takes a code cache only under the flags that it was written with. */
const ROLE_FLAGS = [
  ...readFileSync(join(root, "deploy/system.toml"), "utf8")
    .matchAll(/^run = "node (.*) target\//gm),
].map(([, flags]) => flags.split(" "));
copyFileSync(join(root, "platform/src/code_cache_loader.cjs"), program);
for (const flags of ROLE_FLAGS) {
  execFileSync(process.execPath, [...flags, program, "--write-code-cache"], {
    stdio: ["ignore", "ignore", "inherit"],
  });
}
