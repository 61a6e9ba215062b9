//! At-most-once execution and durable deferred work.
