//! Stand-ins and scripts of the third review: the platform's store, backend servers, callers and the
//! platform's process control, over loopback and the real clock, with the standard library alone.
//!
//! Usage: `review-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. `TROUBLE=0` in the environment leaves the disruption out.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;

use std::{
    fs::File,
    io::Write,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a run: what was sent, answered and run, in milliseconds since its start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record(Arc::new(Mutex::new((File::create(path)?, Instant::now())))))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut record = self.0.lock().unwrap();
        let ms = record.1.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(record.0, "{ms:9.1} {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(record) else {
        eprintln!("cannot write the record");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, with the disruption: {trouble}"));
    let verdict = match cases::run(case, trouble, &record) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::NotRun(e),
    };
    match verdict {
        Verdict::Broken(why) => {
            record.say(&format!("BROKEN: {why}"));
            ExitCode::from(1)
        }
        Verdict::Held(why) => {
            record.say(&format!("held: {why}"));
            ExitCode::SUCCESS
        }
        Verdict::NotRun(why) => {
            record.say(&format!("not run: {why}"));
            ExitCode::from(2)
        }
    }
}
