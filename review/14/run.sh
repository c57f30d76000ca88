#!/bin/sh
# Runs the case from the root of the repository; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/14/case.py
