#!/bin/sh
# Builds the stand-ins: Python files that need only the standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
