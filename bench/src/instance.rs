//! One real daemon as a child process.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use sl_base::listing::ListedInstance;

use crate::port;

/// The operators' key of every instance that is started here.
pub const OPERATOR_KEY: &str = "operators-on-loopback";

/// A daemon and the files that belong to it. Dropping it ends the process.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where callers call.
    pub caller: SocketAddr,
    /// Where fellow instances call.
    pub control: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
    /// Where the balancer calls.
    pub metrics: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What differs between instances.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// The binary.
    pub binary: &'a Path,
    /// Where its files go.
    pub dir: &'a Path,
    /// Its name.
    pub name: &'a str,
    /// The data centre it stands in.
    pub data_centre: &'a str,
    /// The platform's URL, as the instance reaches it.
    pub platform: &'a str,
    /// Sections that follow the usual ones, such as `[periods]`.
    pub more: &'a str,
}

impl Instance {
    /// Writes the settings of an instance that is not started yet.
    ///
    /// # Errors
    ///
    /// Where a file cannot be written.
    pub fn prepare(options: &Options<'_>) -> io::Result<Instance> {
        let at = |suffix: &str| options.dir.join(format!("{}.{suffix}", options.name));
        let instance = Instance {
            name: options.name.to_owned(),
            data_centre: options.data_centre.to_owned(),
            caller: port::free(),
            control: port::free(),
            operator: port::free(),
            metrics: port::free(),
            binary: options.binary.to_owned(),
            settings: at("ini"),
            log: at("log"),
            child: None,
        };
        let key = options.dir.join("control.key");
        std::fs::write(&key, "the-fleet-key-on-loopback")?;
        std::fs::write(&instance.settings, instance.text(options, &key))?;
        Ok(instance)
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Where the binary cannot be run.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .arg("run")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// As the platform lists it.
    pub fn listed(&self) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            control: self.control,
            leaving: false,
        }
    }

    /// The settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The process id, while the process is there.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends the process a signal; a process that is gone hears nothing.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id() {
            let _ = signal::kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Kills the process at once, as a crash would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] where it is still there after `within`.
    pub async fn ended(&mut self, within: Duration) -> io::Result<ExitStatus> {
        let end = tokio::time::Instant::now() + within;
        while tokio::time::Instant::now() < end {
            let Some(child) = self.child.as_mut() else {
                break;
            };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn text(&self, options: &Options<'_>, key: &Path) -> String {
        let hash = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex();
        format!(
            "[instance]\nname = {}\ndata-centre = {}\n\n\
             [listen]\ncaller = {}\ncontrol = {}\noperator = {}\nmetrics = {}\n\n\
             [platform]\naddress = {}\n\n\
             [keys]\ncontrol-key-file = {}\noperator-key-hash = {hash}\n\n{}",
            self.name,
            self.data_centre,
            self.caller,
            self.control,
            self.operator,
            self.metrics,
            options.platform,
            key.display(),
            options.more,
        )
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How often a child is looked at.
const CHECK_PERIOD: Duration = Duration::from_millis(10);
