#!/bin/sh
# Builds the stand-ins and drivers of the cases. They use the standard library only, so nothing is downloaded.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --locked
