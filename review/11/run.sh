#!/usr/bin/env bash
# Exit 1: a server ran what no caller sent; 0: it ran what was sent; 2: the case could not run. TROUBLE=0: with 900 header fields.
set -u
cd "$(dirname "$0")" && exec node case.mjs
