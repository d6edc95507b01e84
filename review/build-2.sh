#!/bin/sh
# Builds the stand-ins of the second review. The deployed program is built by the deploy file.
cd "$(dirname "$0")/standin-2" || exit 2
exec cargo build --release --locked
