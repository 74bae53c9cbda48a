#!/bin/sh
# Exits with 1 if TWICE was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec node case.mjs
