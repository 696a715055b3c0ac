#!/usr/bin/env bash
# Sets up the environment when needed and runs the Kingston demonstration.
set -euo pipefail
cd "$(dirname "$0")"
.ci/setup
exec .venv/bin/python -m gentianlink.testing.demo "$@"
