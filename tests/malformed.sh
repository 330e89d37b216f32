#!/bin/sh
# What the adapter says to malformed input: one plain line, a non-zero exit and no reply half written.
drill=$1
failed=0

# $1: what is sent (printf escapes); $2: what standard error must say; none: it must exit 0 and be silent.
try() {
    said=$(printf "$1" | "$drill" 2>&1 >"${TMPDIR:-/tmp}/firtide.$$")
    code=$?
    size=$(wc -c <"${TMPDIR:-/tmp}/firtide.$$")
    rm -f "${TMPDIR:-/tmp}/firtide.$$"
    if [ -n "$2" ]; then
        [ $code -ne 0 ] && [ "$said" = "firtide-simulator-adapter: $2" ] && [ "$size" -eq 0 ] && return
    else
        [ $code -eq 0 ] && [ -z "$said" ] && [ "$size" -eq "$3" ] && return
    fi
    echo "sent $1: exit $code, $size bytes, said: $said"
    failed=1
}

clock='\1\0\0\0\0\0\0\0'
start='\20\3\0\1\0\0\0\0\0\0\0'  # of instance 3; its settings follow
try '' '' 0
try "\0\0\0\0\0\0\0\0$clock" '' 8
try '\0\0\0' 'the input ends within a header'
try "\1\0\0\0\11\0\0\0$clock\25\3" 'the input ends within a batch'
try "\1\0\0\0\2\0\0\0$clock\25\3" 'a record ends before its fields do'
try "\0\0\0\0\2\0\0\0$clock\25\3" 'a batch is longer than its records'
try "\1\0\0\0\13\0\0\0$clock\25\3\0\0\0\0\0\0\0\0\0" 'an event for an unknown instance'
try "\1\0\0\0\11\0\0\0$clock\26\20\0\0\0\0\0\0\0" "a list's number is too high"
try "\1\0\0\0\11\0\0\0$clock\26\0\0\0\0\377\377\377\377" 'a record ends before its fields do'
try "\0\0\0\0\0\0\0\360$clock" 'a batch is too long'
try "\1\0\0\0\17\0\0\0$clock$start\0\0\0\0" '' 8
try "\1\0\0\0\17\0\0\0$clock$start\5\0\0\0" 'a record ends before its fields do'
try "\2\0\0\0\22\0\0\0$clock$start\0\0\0\0\143\3\0" 'unknown event code 99'
try "\1\0\0\0\25\0\0\0$clock$start\6\0\0\0tier=x" 'unreadable setting tier=x'
try "\1\0\0\0\27\0\0\0$clock$start\10\0\0\0new.k=on" '' 8
exit $failed
