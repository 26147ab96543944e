#!/bin/sh
# Checks and compiles the stand-ins that the scripts of cases 6 to 10 start. They use
# only the standard library, so nothing is installed.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/bytecode-review python3 -m compileall -q lib2 6 7 8 9 10
