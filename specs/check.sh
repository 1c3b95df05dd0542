#!/usr/bin/env bash
# Checks the models with spin, and that spin finds the fault in each faulty variant.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null; then
    echo "not run: the models in specs/ were not checked, as spin is not installed"
    exit 0
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check MODEL PROPERTY EXPECTED(0 holds, 1 violated) [FLAG]
check() {
    cp "$1.pml" "$work/model.pml"
    (cd "$work" && spin -a ${4:-} model.pml >/dev/null)
    (cd "$work" && cc -O2 -w -o pan pan.c && ./pan -a -N "$2" -m100000 >out.txt 2>&1)
    errors=$(grep -o 'errors: [0-9]*' "$work/out.txt" | cut -d' ' -f2)
    states=$(grep -o '[0-9]* states, stored' "$work/out.txt" | cut -d' ' -f1)
    found=$([ "$errors" -gt 0 ] && echo 1 || echo 0)
    verdict=ok
    [ "$found" = "$3" ] || { verdict=FAILED; failed=1; }
    echo "$verdict $1 ${4:-(as designed)}: $2, $errors errors, $states states"
}

check right_to_run at_most_once 0
check right_to_run true_refusal 0
check right_to_run at_most_once 1 -DTIMEOUT_RIGHT
check right_to_run true_refusal 1 -DENTRY_REFUSES
check right_to_run at_most_once 1 -DANY_HEIR
check configuration never_reverts 0
check configuration never_reverts 1 -DNO_ORDER
check gossip complete_is_true 0
check gossip value_never_reverts 0
check gossip complete_is_true 1 -DTRUST_GAPS
check gossip value_never_reverts 1 -DNO_ORDER
exit "$failed"
