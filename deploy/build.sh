#!/bin/sh
# Put the libraries and the sources of a gateway below target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
lock=deploy/requirements.txt
if ! cmp -s "$lock" target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" -r "$lock"
    cp "$lock" target/requirements.txt
fi
for package in core api node; do
    rm -rf "$deps/spanfall_$package"
    cp -r "packages/spanfall-$package/src/spanfall_$package" "$deps/"
done
rm -rf "$deps/spanfall_platform"
cp -r platform/spanfall_platform "$deps/"
python3 -m compileall -q "$deps"
