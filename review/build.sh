#!/bin/sh
# The stand-ins of the cases are Python scripts (standard library only), so there is nothing to compile.
# The proxy is that of the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
test -x target/bin/boragegauge-proxy
