#!/bin/sh
# The stand-ins of the second review are plain JavaScript: nothing is compiled, they are only checked.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [0-9]*/*.mjs; do
  node --check "$file" || exit 1
done
