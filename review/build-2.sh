#!/bin/sh
# What the cases 6 to 10 need beside the build of the deploy file. Their stand-ins are Python 3 with its standard library
# alone, as the project's tests are: there is nothing to compile, only to check.
set -eu
cd "$(dirname "$0")/.."
[ -x build/firtide ] || { echo "build/firtide is not there: run the build of the deploy file first" >&2; exit 1; }
python3 -c 'import sys; assert sys.version_info >= (3, 7), "Python 3.7 or later is wanted"'
for script in review/stand_ins_2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    [ -f "$script" ] || continue
    python3 - "$script" <<'CHECK'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
CHECK
done
