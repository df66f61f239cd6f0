//! The command line parses, and its help says what a script needs.

use rstest::rstest;
use sl_core::{Exit, cli};
use strum::IntoEnumIterator;

#[test]
fn parser_holds_its_invariants() {
    cli::options().check_invariants(true);
}

#[test]
fn help_lists_every_exit_code() {
    let failure = cli::options().run_inner(&["--help"]).unwrap_err();
    let help = failure.unwrap_stdout();
    for exit in Exit::iter() {
        let line = format!("{}  {}", exit.number(), exit.meaning());
        assert!(help.contains(&line), "{line} is not in\n{help}");
    }
}

#[rstest]
#[case(&["run"])]
#[case(&["check", "settings"])]
#[case(&["check", "page", "a"])]
#[case(&["rnu"])]
fn a_wrong_command_line_is_refused(#[case] args: &[&str]) {
    assert!(cli::options().run_inner(args).is_err());
}
