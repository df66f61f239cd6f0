//! At most once: claims on idempotency keys, and strikes against requests that crash servers.
