#!/bin/sh
# Run a case five times with the disruption and twice without.
cd "$(dirname "$0")/.."
for trouble in 1 1 1 1 1 0 0; do
    code=0
    TROUBLE=$trouble "$1/run.sh" || code=$?
    echo "case $1, TROUBLE=$trouble: exit $code"
done
