//! HTTP towards callers, the balancer and operators.
