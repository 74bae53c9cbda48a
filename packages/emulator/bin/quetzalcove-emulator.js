#!/usr/bin/env node
import "@quetzalcove/emulator/run";
