#!/bin/sh
# Runs the case; TROUBLE=0 keeps the model in the config.
cd "$(dirname "$0")" && exec python3 case.py
