//! Parsing of the command line, and the exit codes in the help text.

use rstest::rstest;
use sl_core::{Exit, cli};
use strum::IntoEnumIterator;

#[test]
fn the_parser_passes_the_invariant_checks_of_bpaf() {
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
#[case(&["check", "configuration"])]
#[case(&["check", "configuration", "a", "b"])]
#[case(&["rnu"])]
fn an_invalid_command_line_is_rejected(#[case] args: &[&str]) {
    assert!(cli::options().run_inner(args).is_err());
}
