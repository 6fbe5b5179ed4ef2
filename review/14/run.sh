#!/usr/bin/env bash
# Exit 1: a request that had crashed three servers reached servers more than three times more; 0: it did not; 2: the case could not run. TROUBLE=0: without the restarts.
set -u
cd "$(dirname "$0")" && exec node case.mjs
