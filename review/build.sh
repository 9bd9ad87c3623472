#!/usr/bin/env bash
# Checks that the stand-ins of the cases, which are Python scripts, can be compiled. Nothing is built
# into files: they run as they stand.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
PYTHON
