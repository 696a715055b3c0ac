#!/usr/bin/env bash
# Puts libraries and packages under target/, compiled, so that a start is fast.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
  rm -rf "$deps"
  python3 -m pip install --quiet --root-user-action ignore --disable-pip-version-check --no-deps \
    --target "$deps" --requirement deploy/requirements.txt
  cp deploy/requirements.txt target/requirements.txt
fi
rm -rf "$deps/gentianlink"
for package in core parser ops platform node sidecar; do
  cp -R "packages/$package/src/gentianlink/." "$deps/gentianlink/" 2>/dev/null ||
    { mkdir -p "$deps/gentianlink"; cp -R "packages/$package/src/gentianlink/." "$deps/gentianlink/"; }
done
find "$deps/gentianlink" -name 'test_*.py' -delete
python3 -m compileall -q "$deps" || true
