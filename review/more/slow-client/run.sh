#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. 1: the rule was broken.
exec python3 "$(dirname "$0")/case.py"
