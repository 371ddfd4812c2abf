#!/bin/sh
# Build what the scripts of cases 4 to 8 start beside the gateway. The stand-ins
# are plain Python of the standard library, so nothing is fetched: this checks
# that they compile.
set -eu
cd "$(dirname "$0")"
for file in rig/*.py 4/*.py 5/*.py 6/*.py 7/*.py 8/*.py; do
    [ -f "$file" ] || continue
    python3 - "$file" <<'PY'
import sys

with open(sys.argv[1], encoding='utf-8') as source:
    compile(source.read(), sys.argv[1], 'exec')
PY
done
