#!/usr/bin/env bash
# The stand-ins of these cases are plain JavaScript and need no build step; this checks that each of them can be parsed. The
# project's own program is built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in common-3/*.mjs 1[1345]/*.mjs; do
	node --check "$file"
done
