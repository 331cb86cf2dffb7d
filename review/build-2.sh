#!/bin/sh
# The stand-ins of the cases 6 to 10 are scripts; they need python3 (3.9 or newer) and nothing built.
# The proxies come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 9))'
test -x target/bin/boragegauge-proxy || {
  echo "target/bin/boragegauge-proxy is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
