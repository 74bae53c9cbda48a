#!/bin/sh
# The stand-ins are plain JavaScript for Node.js and need no build; this checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
