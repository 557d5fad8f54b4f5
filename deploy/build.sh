#!/usr/bin/env bash
# Installs the node, its adapter and what they need under target/deps, unless
# nothing has changed since.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps/.built
sources=(packages/bluebellslip platform deploy/requirements.txt deploy/build.sh)
if [ -e "$stamp" ] &&
  [ -z "$(find "${sources[@]}" -type f -newer "$stamp" -not -path '*/__pycache__/*' -print -quit)" ]; then
  exit 0
fi
rm -rf target/build target/deps
mkdir -p target
python3 -m venv target/build
target/build/bin/pip install --quiet hatchling editables
python3 -m pip install --quiet --target target/deps \
  --requirement deploy/requirements.txt
target/build/bin/python -m pip install --quiet --no-deps \
  --no-build-isolation --target target/deps packages/bluebellslip ./platform
rm -rf target/build
python3 -m compileall -q target/deps
touch "$stamp"
