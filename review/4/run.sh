#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the cuts.
cd "$(dirname "$0")" && exec python3 case.py
