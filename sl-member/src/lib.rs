//! Members of the fleet: the platform's list corrected by probes.
