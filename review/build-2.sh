#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain modules for Node.js, so that a check of their syntax is all.
set -euo pipefail
cd "$(dirname "$0")"
for module in common-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
