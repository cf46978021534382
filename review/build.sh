#!/usr/bin/env bash
# Compile the stand-ins that the scripts start; they need Python 3.11 alone.
cd "$(dirname "$0")" && exec python3 -m compileall -q -f common [0-9]*/case.py
