#!/bin/sh
# Builds the stand-ins of the cases from 6 on into target/review-2/, with the versions of the project's
# Cargo.lock. They need the project's own crates and packages that the gateway needs too.
set -e
cd "$(dirname "$0")/.."
cp Cargo.lock review/stand-2/Cargo.lock
cargo build --release --bins --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
