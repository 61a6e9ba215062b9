#!/bin/sh
# Builds the stand-ins of the cases from 11 on into target/review-3/, with the versions of the project's
# Cargo.lock. They need only packages that the gateway needs too.
set -e
cd "$(dirname "$0")/.."
cp Cargo.lock review/stand-3/Cargo.lock
cargo build --release --bins --manifest-path review/stand-3/Cargo.toml --target-dir target/review-3
