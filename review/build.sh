#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no library and no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
