//! The daemon: the reducer and its adapters on one runtime.
