#!/bin/sh
# See claim.txt. TROUBLE=0 plays the same without the disruption.
exec sh "$(dirname "$0")/../stand_ins_2/run_case.sh" 10
