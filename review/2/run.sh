#!/usr/bin/env bash
# Writes record.txt in this folder. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
: >record.txt || exit 2
python3 -B case.py
code=$?
[[ $code -eq 0 || $code -eq 1 ]] && grep -q "rule \(held\|broken\)$" record.txt && exit $code
exit 2
