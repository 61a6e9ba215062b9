//! Test doubles: upstream, platform and fault proxy.
