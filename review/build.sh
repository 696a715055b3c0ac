#!/usr/bin/env bash
# Compiles the stand-ins; they need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins
