//! What benchmarks, the demonstration and the process tests share: real daemons as child
//! processes, with the stand-ins around them, all on loopback. Never shipped.

pub mod accept;
pub mod fleet;
pub mod instance;
pub mod measure;
pub mod port;
pub mod site;

pub use fleet::{Fleet, Options};
pub use instance::Instance;
pub use site::Site;
