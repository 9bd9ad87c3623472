#!/usr/bin/env bash
# Runs case.py of the folder given. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$1" || exit 2
[ -x ../../target/release/laurellanding ] || { echo "build the controllers first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib2 timeout -k 3 116 python3 case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
