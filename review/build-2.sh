#!/usr/bin/env bash
# Build the stand-ins of the scripts in review/6 to review/10. They are plain Python 3.11 without
# packages, so that nothing is produced: this checks that each can be compiled and imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), sys.version
paths = [*pathlib.Path("review/lib-2").glob("*.py"), *pathlib.Path("review").glob("*/case.py")]
for path in paths:
    compile(path.read_text(), str(path), "exec")
sys.path.insert(0, "review/lib-2")
import kit

print(f"{len(paths)} files compile, {kit.__name__} imports")
PYTHON
