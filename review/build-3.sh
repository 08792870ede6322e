#!/usr/bin/env bash
# Builds the stand-ins of the third review. They are plain JavaScript without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
