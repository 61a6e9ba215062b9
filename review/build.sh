#!/bin/sh
# Builds the stand-ins of the scripts into target/review/, with the versions of the project's Cargo.lock.
# They need the project's own crates and packages that the gateway needs too.
set -e
cd "$(dirname "$0")/.."
cp Cargo.lock review/Cargo.lock
cargo build --release --bins --manifest-path review/Cargo.toml --target-dir target/review
