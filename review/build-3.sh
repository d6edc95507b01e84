#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start, with the locked versions.
set -e
cd "$(dirname "$0")/standin-3"
exec cargo build --release --locked
