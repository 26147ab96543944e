#!/bin/sh
# Checks and compiles the stand-ins that the scripts of the cases start. They use only
# the standard library, so nothing is installed.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/bytecode-review python3 -m compileall -q lib [1-5]
