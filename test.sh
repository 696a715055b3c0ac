#!/usr/bin/env bash
# Sets up the environment when needed and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
.ci/setup
exec .venv/bin/python .ci/run_tests.py "$@"
