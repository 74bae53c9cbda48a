/**
 * Runs command lines against fake admin servers and records a transcript of them.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Err, fault, Ok } from "@quetzalcove/core";
import { run, type Runtime } from "@quetzalcove/cli";
import { FakeAdmin } from "./fake_admin.ts";

const ROOT = new URL("../../../", import.meta.url);

export class Session {
  readonly servers: FakeAdmin[] = [];
  readonly files = new Map<string, string>();
  transcript = "";
  stdout = "";
  stderr = "";
  now = 1_700_000_000_000;
  /** Names of the servers by address. */
  readonly #names = new Map<string, string>();
  #ids = 0;

  /** Starts a server; the transcript shows `name` instead of its address. */
  async start(name: string): Promise<FakeAdmin> {
    const server = new FakeAdmin();
    server.now = this.now;
    this.servers.push(server);
    this.#names.set(await server.listen(), name);
    return server;
  }

  /** The address of a started server. */
  addressOf(name: string): string {
    const found = [...this.#names].find(([, known]) => known === name);
    return found?.[0] ?? name;
  }

  /** Runs a command line; server names in its words are replaced by addresses. */
  async run(...words: string[]): Promise<number> {
    this.stdout = "";
    this.stderr = "";
    const actual = words.map((word) =>
      word.split(",").map((part) => this.addressOf(part)).join(",")
    );
    const exit = await run(actual, this.#runtime());
    const shown = words.map((word) => /[\s"]/.test(word) ? `'${word}'` : word);
    const output = this.stdout + this.stderr.replace(/^(?=.)/gm, "! ");
    this.transcript += this.#withServerNames(
      `$ quetzalcove ${shown.join(" ")}\n${output}exit ${exit}\n\n`,
    );
    return exit;
  }

  /** Adds a file and appends its text to the transcript. */
  write(path: string, text: string): void {
    this.files.set(path, text);
    this.transcript += `== ${path}\n${text.trimEnd()}\n\n`;
  }

  async close(): Promise<void> {
    await Promise.all(this.servers.map((server) => server.close()));
  }

  #withServerNames(text: string): string {
    let result = text;
    for (const [address, name] of this.#names) {
      result = result.replaceAll(address, name);
    }
    return result;
  }

  #runtime(): Runtime {
    return {
      environment: {},
      interactive: false,
      print: (text) => void (this.stdout += text),
      printError: (text) => void (this.stderr += text),
      readText: (path) => Promise.resolve(this.#read(path)),
      writeText: (path, text) => {
        this.files.set(path, text);
        return Promise.resolve(Ok.EMPTY);
      },
      listFiles: (folder) => Promise.resolve(this.#list(folder)),
      now: () => this.now,
      sleep: (ms) => {
        this.now += ms;
        return Promise.resolve();
      },
      newId: () => `change-${++this.#ids}`,
    };
  }

  #list(
    folder: string,
  ): ReturnType<Runtime["listFiles"]> extends Promise<infer R> ? R : never {
    const files = [...this.files.keys()].filter((path) =>
      path.startsWith(`${folder}/`)
    );
    return files.length > 0 ? Ok(files) : Err(
      fault("invalid", `Cannot read ${folder}: no such file or folder`, {
        path: folder,
      }),
    );
  }

  #read(
    path: string,
  ): ReturnType<Runtime["readText"]> extends Promise<infer R> ? R
    : never {
    const text = this.files.get(path);
    if (text !== undefined) {
      return Ok(text);
    }
    if (path.startsWith("examples/")) {
      return Ok(readFileSync(new URL(path, ROOT), "utf8"));
    }
    return Err(fault("invalid", `Cannot read ${path}: no such file or folder`, {
      path,
    }));
  }
}
