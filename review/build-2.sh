#!/bin/sh
# Byte-compile the stand-ins that the scripts of review/4 and up start.  They need no
# packages but those of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/support_2 platform/site_adapter/tests
for folder in review/[4-8]; do
  if [ -f "$folder/case.py" ]; then
    python3 -m compileall -q "$folder/case.py"
  fi
done
