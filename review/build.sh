#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies: there is nothing to compile, so they are checked only.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
