#!/usr/bin/env node
import "@quetzalcove/daemon/run";
