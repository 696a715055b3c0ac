#!/usr/bin/env bash
# Compiles the stand-ins; they need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$PWD/../target/review" python3 -m py_compile stand_in_*.py
