#!/bin/sh
# The simulator adapter rejects malformed input with one line on standard error, a non-zero exit status and no
# partial reply.
adapter=$1
failed=0

# $1: the input (printf escapes). $2: the expected message on standard error. If it is empty, the adapter must
# exit with 0, print no message and write a reply of $3 bytes.
check() {
    message=$(printf "$1" | "$adapter" 2>&1 >"${TMPDIR:-/tmp}/firtide.$$")
    code=$?
    size=$(wc -c <"${TMPDIR:-/tmp}/firtide.$$")
    rm -f "${TMPDIR:-/tmp}/firtide.$$"
    if [ -n "$2" ]; then
        [ $code -ne 0 ] && [ "$message" = "firtide-simulator-adapter: $2" ] && [ "$size" -eq 0 ] && return
    else
        [ $code -eq 0 ] && [ -z "$message" ] && [ "$size" -eq "$3" ] && return
    fi
    echo "sent $1: exit $code, $size bytes, message: $message"
    failed=1
}

clock='\1\0\0\0\0\0\0\0'
start='\20\3\0\1\0\0\0\0\0\0\0'  # starts instance 3; its settings follow
check '' '' 0
check "\0\0\0\0\0\0\0\0$clock" '' 8
check '\0\0\0' 'the input ends within a header'
check "\1\0\0\0\11\0\0\0$clock\25\3" 'the input ends within a batch'
check "\1\0\0\0\2\0\0\0$clock\25\3" 'a record ends before its fields do'
check "\0\0\0\0\2\0\0\0$clock\25\3" 'a batch is longer than its records'
check "\1\0\0\0\13\0\0\0$clock\25\3\0\0\0\0\0\0\0\0\0" 'an event for an unknown instance'
check "\1\0\0\0\11\0\0\0$clock\26\20\0\0\0\0\0\0\0" "a list's number is too high"
check "\1\0\0\0\11\0\0\0$clock\26\0\0\0\0\377\377\377\377" 'a record ends before its fields do'
check "\0\0\0\0\0\0\0\360$clock" 'a batch is too long'
check "\1\0\0\0\17\0\0\0$clock$start\0\0\0\0" '' 8
check "\1\0\0\0\17\0\0\0$clock$start\5\0\0\0" 'a record ends before its fields do'
check "\2\0\0\0\22\0\0\0$clock$start\0\0\0\0\143\3\0" 'unknown event code 99'
check "\1\0\0\0\25\0\0\0$clock$start\6\0\0\0tier=x" 'unreadable setting tier=x'
check "\1\0\0\0\27\0\0\0$clock$start\10\0\0\0new.k=on" '' 8
exit $failed
