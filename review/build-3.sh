#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, beside the nodes themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q -f review/standins_3.py
