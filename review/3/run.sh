#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the crash and the failures out.
cd "$(dirname "$0")" || exit 2
exec node run.mjs
