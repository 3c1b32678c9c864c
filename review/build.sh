#!/usr/bin/env bash
# The stand-ins are Python programs and need no build; checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
