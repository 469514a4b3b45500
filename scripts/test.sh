#!/usr/bin/env bash
# Everything that must hold before a change lands. Ends with the line "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== generated code is current"
npx buf lint
rm -rf out/generated && mkdir -p out/generated
npx buf generate -o out/generated
diff -r src/generated out/generated/src/generated

echo "== format and lint"
npm run --silent lint

echo "== types"
npm run --silent typecheck

echo "== build"
npm run --silent build

echo "== tests"
mkdir -p out
status=0
NODE_OPTIONS="--import tsx" npx uvu . '^(src|platform|scripts)/.*test/.*\.test\.ts$' -i node_modules -i dist > out/tests.log 2>&1 || status=$?
cat out/tests.log
node scripts/countTests.mjs out/tests.log "$status"
