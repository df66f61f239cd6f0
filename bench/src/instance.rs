//! One real instance as a child process.

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
use stand_ins::Caller;

use crate::ports::free_port;

/// The operator key of every instance of a fleet.
pub const OPERATOR_KEY: &str = "operators-on-loopback";

/// An instance with its settings and log files. Dropping it kills the process.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance, also that of its files.
    pub name: String,
    /// Address of the port for callers.
    pub caller: SocketAddr,
    /// Address of the control port, for the other instances of the fleet.
    pub control: SocketAddr,
    /// Address of the port for operators.
    pub operator: SocketAddr,
    /// Address of the port for metrics and for the load balancer's readiness checks.
    pub metrics: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The settings in which the instances of a fleet differ, and where their files are.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// Path of the `sesamelock` binary.
    pub binary: &'a Path,
    /// Directory of the settings, the log and the control key.
    pub dir: &'a Path,
    /// Name of the instance.
    pub name: &'a str,
    /// Data centre of the instance.
    pub data_centre: &'a str,
    /// Address of the store, or of the relay to the store.
    pub store: SocketAddr,
    /// Control ports of the instances that the new one contacts while the store does not
    /// respond.
    pub seeds: &'a [SocketAddr],
}

/// Time within which a graceful shutdown ends, unless another one is set.
pub const STOP_WITHIN: Duration = Duration::from_millis(6_000);

/// How often a child process is checked for its exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Instance {
    /// Writes the settings of an instance without starting its process.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn prepare(options: Options<'_>) -> io::Result<Instance> {
        let path = |suffix: &str| options.dir.join(format!("{}.{suffix}", options.name));
        let instance = Instance {
            name: options.name.to_owned(),
            caller: free_port(),
            control: free_port(),
            operator: free_port(),
            metrics: free_port(),
            binary: options.binary.to_owned(),
            settings: path("ini"),
            log: path("log"),
            child: None,
        };
        let key = options.dir.join("control.key");
        if !key.exists() {
            // Written only once, because another instance may be reading the file already.
            std::fs::write(&key, "the-fleet-key-on-loopback")?;
        }
        std::fs::write(&instance.settings, instance.settings_text(options, &key))?;
        Ok(instance)
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the binary cannot be run.
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

    /// Replaces the time within which a graceful shutdown ends in the settings, which the
    /// process of the instance reads when it starts or reloads them.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be read or written.
    pub fn set_stop_within(&self, stop_within: Duration) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let lines = text.lines().map(|it| match it.starts_with(STOP_SETTING) {
            true => stop_setting(stop_within),
            false => it.to_owned(),
        });
        let lines: Vec<String> = lines.collect();
        std::fs::write(&self.settings, lines.join("\n") + "\n")
    }

    /// Asks the instance to drain, as `sesamelock drain` does, within `within` if that is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator port does not accept the call.
    pub async fn drain(&self, within: Option<Duration>) -> io::Result<()> {
        let query = within.map(|it| format!("?within_ms={}", it.as_millis())).unwrap_or_default();
        let call = format!(
            "POST /drain{query} HTTP/1.1\r\nHost: operator\r\n\
             Authorization: Bearer {OPERATOR_KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        let mut operator = Caller::connect(self.operator).await?;
        operator.send(call.as_bytes()).await?;
        match operator.read_response("POST").await?.status() {
            202 => Ok(()),
            status => Err(io::Error::other(format!("the drain got status {status}"))),
        }
    }

    /// Path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Path of the log file, to which every process of the instance appends.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// The content of the log file; empty if the file cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The process id; `None` if the process was not started, or was killed or awaited.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process was started and has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(process_id) = self.process_id() {
            let _ = signal::kill(Pid::from_raw(process_id as i32), signal);
        }
    }

    /// Kills the process without a graceful shutdown, as in a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::TimedOut`] if the process has not exited within `timeout`, or
    /// if there is no process.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let deadline = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < deadline {
            let Some(child) = self.child.as_mut() else {
                break;
            };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn settings_text(&self, options: Options<'_>, key: &Path) -> String {
        let hash = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex();
        let seeds =
            options.seeds.iter().enumerate().map(|(index, it)| format!("seed-{index}@{it}"));
        let seeds: Vec<String> = seeds.collect();
        let seeds = match seeds.is_empty() {
            true => String::new(),
            false => format!("seeds = {}\n", seeds.join(", ")),
        };
        format!(
            "[instance]\nname = {}\ndata-centre = {}\n{seeds}\n\
             [listen]\ncaller = {}\ncontrol = {}\noperator = {}\nmetrics = {}\n\n\
             [platform]\naddress = http://{}\n\n\
             [keys]\ncontrol-key-file = {}\noperator-key-hash = {hash}\n\n\
             [periods]\n{}\n\n[retries]\nratio = 0.2\nallowance = 58\n",
            self.name,
            options.data_centre,
            self.caller,
            self.control,
            self.operator,
            self.metrics,
            options.store,
            key.display(),
            stop_setting(STOP_WITHIN),
        )
    }
}

/// Name of the setting for the time within which a graceful shutdown ends.
const STOP_SETTING: &str = "stop-within-ms";

/// The line of the settings that limits the time of a graceful shutdown.
fn stop_setting(stop_within: Duration) -> String {
    format!("{STOP_SETTING} = {}", stop_within.as_millis())
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
