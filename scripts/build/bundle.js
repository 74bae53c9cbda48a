// The text of the node program: its modules and packages in one file.
import { build } from "esbuild";

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
      resolveDir: bundler.initialOptions.absWorkingDir,
      contents: REPLACEMENTS.get(path),
    }));
  },
};

/** Bundles the program of a repository; the text is that of a CommonJS module that exports `main`. */
export async function bundleProgram(root) {
  const { outputFiles: [bundle] } = await build({
    absWorkingDir: root,
    entryPoints: ["platform/src/main.ts"],
    write: false,
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
  return bundle.text;
}
