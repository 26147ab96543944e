#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: compiles the modules that the scripts load.
# The programs of the project are built by deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
python3 -X pycache_prefix=target/bytecode -m compileall -q review/lib3
