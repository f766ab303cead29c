#!/bin/sh
# Builds the stand-ins of the review: they are of Python's standard library alone, so they are compiled, and that is all.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
