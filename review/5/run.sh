#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the entries of another writer.
cd "$(dirname "$0")" && exec python3 case.py
