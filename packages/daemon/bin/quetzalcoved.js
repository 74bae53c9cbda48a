#!/usr/bin/env node
import process from "node:process";
import { main } from "../dist/main.js";

await main(process.argv);
