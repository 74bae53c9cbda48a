#!/usr/bin/env node
import "@quetzalcove/cli/main";
