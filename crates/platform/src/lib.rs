//! Access to the platform's table service, object store and membership list.
