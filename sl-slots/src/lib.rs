//! Lending of backend servers' slots between instances.
