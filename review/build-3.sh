#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python, of the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/lib-3 review/11 review/12 review/13 \
    review/14 review/15
