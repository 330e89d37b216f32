#!/bin/sh
# Builds every stand-in that the cases start. They are Python, with the standard library alone: compiled here once, so
# that a fault in one shows before a case runs. The program itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins.py [1-3]/case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
