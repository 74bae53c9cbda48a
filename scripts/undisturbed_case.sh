#!/usr/bin/env bash
# Runs cases of review/ without their disruption, with the program and the deploy file of this checkout:
# scripts/undisturbed_case.sh 3 6. A case writes its record beside itself, so it runs in a copy of the folder.
set -eu
root="$(cd "$(dirname "$0")/.." && pwd)"
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
cp -r "$root/review" "$copy"
ln -s "$root/deploy" "$root/platform" "$root/package.json" "$copy"
for case in "$@"; do
  if ! TMPDIR="$copy" TROUBLE=0 KEEP=1 "$copy/review/$case/run.sh" >"$copy/output" 2>&1; then
    echo "review/$case does not hold without its disruption; its output, record and logs:"
    tail -n 20 "$copy/output" "$copy/review/$case/record.txt"
    tail -n 3 "$copy"/*review-*/*.log
    exit 1
  fi
  echo "review/$case holds"
done
