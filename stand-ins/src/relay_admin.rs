//! Switches a [`Relay`] over HTTP: `POST /admin/fault` takes a [`RelayFault`].

use std::{io, net::SocketAddr, time::Duration};

use rocket::http::{Method, Status};
use serde::{Deserialize, Serialize};

use crate::{
    relay::{Relay, Way},
    serve::{self, Answer, Incoming, Refusal, Service, Serving},
};

/// What is wrong with a relay's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFault {
    /// New connections are refused.
    pub refuse: bool,
    /// The connections that stand are closed once.
    pub cut: bool,
    /// The connections that stand pass nothing on; new ones work.
    pub silent_old: bool,
    /// No connection passes anything on.
    pub silent: bool,
    /// Delay from the client to the server, in milliseconds.
    pub up_ms: u64,
    /// Delay from the server to the client, in milliseconds.
    pub down_ms: u64,
}

/// The admin port of a relay; it closes when this is dropped.
#[derive(Debug)]
pub struct RelayAdmin(Serving);

impl RelayAdmin {
    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }
}

impl Relay {
    /// Sets what is wrong; the default heals it.
    pub async fn fault(&self, fault: RelayFault) {
        self.heal();
        self.delay(Way::Up, Duration::from_millis(fault.up_ms));
        self.delay(Way::Down, Duration::from_millis(fault.down_ms));
        self.refuse(fault.refuse);
        self.settled().await;
        if fault.silent {
            self.silence();
        }
        if fault.silent_old {
            self.silence_old();
        }
        if fault.cut {
            self.cut();
        }
    }

    /// Opens an admin port on the loopback.
    ///
    /// # Errors
    ///
    /// Where no port can be had.
    pub async fn serve_admin(&self) -> io::Result<RelayAdmin> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        serve::serve(listen, Admin(self.clone())).await.map(RelayAdmin)
    }
}

#[derive(Clone)]
struct Admin(Relay);

impl Admin {
    async fn administer(&self, call: &Incoming) -> Result<Answer, Refusal> {
        match (call.method, call.path.as_str()) {
            (Method::Post, "/admin/fault") => self.0.fault(call.json()?).await,
            _ => return Err(Refusal::not_found()),
        }
        Ok(serve::empty(Status::Ok))
    }
}

impl Service for Admin {
    async fn answer(&self, call: Incoming) -> Answer {
        self.administer(&call).await.unwrap_or_else(Answer::from)
    }
}
