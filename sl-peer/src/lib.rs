//! Links between instances over tarpc.
