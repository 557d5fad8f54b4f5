#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python files, for the standard library
# only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py [0-9]/case.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_bytes(), name, 'exec')
END
