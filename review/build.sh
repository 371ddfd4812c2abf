#!/bin/sh
# The stand-ins use only Python's standard library; check that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
from pathlib import Path

for path in sorted(Path('.').rglob('*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
PY
