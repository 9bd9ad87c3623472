#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. They are Python 3 with its standard library: this compiles them, so
# that a mistake shows here. The controllers are built by the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
mkdir -p target/review-2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 -m py_compile review/lib2/*.py review/[4-8]/*.py
