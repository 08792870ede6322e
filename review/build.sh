#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript without dependencies, so that only their
# syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do node --check "$file"; done
