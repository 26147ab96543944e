#!/bin/sh
# Installs the libraries into target/deps and compiles whatever a program loads
# into target/bytecode: a process that cannot write there would compile all of it
# at every start, which takes longer than the rest of the start.
set -eu

prefix=target/bytecode
compile="python3 -X pycache_prefix=$prefix -m compileall -q -j 0"
if [ ! target/deps -nt requirements.lock ]; then
  python3 -m pip install -q --upgrade --target target/deps -r requirements.lock
  stdlib=$(python3 -c 'import sysconfig; print(sysconfig.get_path("stdlib"))')
  $compile target/deps
  # The standard library's tests hold files that are not valid Python.
  $compile -x '/(test|tests|idlelib|lib2to3|turtledemo|site-packages)/' "$stdlib"
  touch target/deps
fi
$compile src platform
