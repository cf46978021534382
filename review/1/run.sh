#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. python3 -B case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
