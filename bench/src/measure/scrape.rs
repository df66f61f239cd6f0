//! Reading a daemon's metrics.

/// Control traffic of an instance since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent to peers.
    pub peer_sent: f64,
    /// Bytes received from peers.
    pub peer_received: f64,
    /// Frames sent to peers.
    pub peer_frames: f64,
    /// Bytes sent to the platform and received from it.
    pub platform: f64,
    /// Calls to the platform.
    pub platform_calls: f64,
}

impl Traffic {
    /// The traffic in a metrics page.
    pub fn of(page: &str) -> Traffic {
        let sum = |name: &str, label: &str| -> f64 {
            let lines = page.lines().filter(|it| it.starts_with(name) && it.contains(label));
            lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum()
        };
        Traffic {
            peer_sent: sum("sesamelock_peer_bytes", "sent"),
            peer_received: sum("sesamelock_peer_bytes", "received"),
            peer_frames: sum("sesamelock_peer_messages", "sent"),
            platform: sum("sesamelock_platform_sent_bytes", "kind")
                + sum("sesamelock_platform_received_bytes", "kind"),
            platform_calls: sum("sesamelock_platform_calls", "kind"),
        }
    }
}
