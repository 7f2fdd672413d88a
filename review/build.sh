#!/bin/sh
# The stand-ins are Python, and need only the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review platform/site_adapter reedspar/daemon
