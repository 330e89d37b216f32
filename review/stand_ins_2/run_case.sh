#!/bin/sh
# Plays a case: run_case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/firtide ] || { echo "build/firtide is not there: run the build of the deploy file" >&2; exit 2; }
python3 "review/$1/case.py" &
player=$!
trap 'kill -TERM "$player" 2>/dev/null' HUP INT TERM
wait "$player"
status=$?
while kill -0 "$player" 2>/dev/null; do
    wait "$player"
    status=$?
done
# 10 and 11 rather than 0 and 1: a Python that cannot start a script ends with 1 too.
case $status in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
