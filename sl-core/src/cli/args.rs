//! The parsers of the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional, pure};
use sl_base::{Millis, Revision};
use strum::IntoEnumIterator;

use super::{Action, Ask, Command, Template};
use crate::{
    check, drain,
    exit::Exit,
    operator,
    output::Form,
    report, run, store,
    template::{accept, discard, edit, show},
};

/// The environment variable that holds the platform's address.
const PLATFORM_ENV: &str = "SESAMELOCK_PLATFORM";

/// The environment variable that holds the address of an instance's operator port.
const INSTANCE_ENV: &str = "SESAMELOCK_INSTANCE";

/// The environment variable that holds the operator's name.
const OPERATOR_ENV: &str = "SESAMELOCK_OPERATOR";

/// The environment variable that holds the login name.
const LOGIN_ENV: &str = "USER";

/// The environment variables that name an editor, the first one first.
const EDITOR_ENVS: [&str; 2] = ["VISUAL", "EDITOR"];

/// How long a call to the platform may take where nothing else is said.
const CALL_WITHIN: Millis = Millis(2_000);

/// How long an instance may take to answer where nothing else is said.
const ANSWER_WITHIN: Millis = Millis(5_000);

/// How long `template accept` waits for every instance where nothing else is said.
const ACCEPT_WAIT: Millis = Millis(10_000);

/// The parser of the whole command line.
pub fn options() -> OptionParser<Command> {
    let run = run();
    let check = check();
    let hash = hash();
    let template = template();
    let status = status();
    let drain = drain();
    let report = report();
    construct!([run, check, hash, template, status, drain, report])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router fleet for teams who share capacity fairly.")
        .footer(footer().as_str())
}

fn footer() -> String {
    let line = |it: Exit| format!("  {}  {}", it.number(), it.meaning());
    let codes: Vec<String> = Exit::iter().map(line).collect();
    format!(
        "Exit codes:\n{}\n  \n  \
         Completions for your shell: sesamelock --bpaf-complete-style-bash (-zsh, -fish, -elvish)",
        codes.join("\n")
    )
}

fn hash() -> impl Parser<Command> {
    let form = form();
    construct!(Command::Hash(form))
        .to_options()
        .descr("Hash a secret from standard input, as templates and settings name it.")
        .footer("Example:\n sesamelock hash < credential.txt")
        .command("hash")
}

fn run() -> impl Parser<Command> {
    let settings = long("settings")
        .short('s')
        .help("The settings file, in INI")
        .argument::<PathBuf>("FILE")
        .complete_shell(ini_files());
    construct!(run::Options { settings })
        .map(Command::Run)
        .to_options()
        .descr("Run an instance of the router.")
        .footer("Example:\n  sesamelock run --settings /etc/sesamelock/settings.ini")
        .command("run")
}

fn check() -> impl Parser<Command> {
    let settings = check_of(check::Kind::Settings, "Check settings of instances.");
    let template = check_of(check::Kind::Template, "Check templates.");
    construct!([settings, template])
        .to_options()
        .descr("Check settings or templates and tell every fault at once.")
        .footer(
            "Examples:\n  sesamelock check settings settings.ini\n  \
             sesamelock check template --json te-byw.ini",
        )
        .command("check")
}

fn check_of(kind: check::Kind, descr: &'static str) -> impl Parser<Command> {
    let name: &'static str = kind.into();
    let form = form();
    let kind = pure(kind);
    let files = positional::<PathBuf>("FILE")
        .help("The files to check")
        .complete_shell(ini_files())
        .some("name at least one file");
    construct!(check::Options { form, kind, files })
        .map(Command::Check)
        .to_options()
        .descr(descr)
        .command(name)
}

fn template() -> impl Parser<Command> {
    let list = action("list", "List the accepted templates.", pure(Action::List));
    let show = action("show", "Show a template's text.", show());
    let edit = action(
        "edit",
        "Write a draft with an editor, from a file, or to remove a template.",
        edit(),
    );
    let diff = action("diff", "Show what a draft changes.", name().map(Action::Diff));
    let accept = action("accept", "Put drafts in force, all or none.", accept());
    let history = action("history", "Tell who accepted what.", history());
    let discard = action("discard", "Remove a draft.", discard());
    construct!([list, show, edit, diff, accept, history, discard])
        .to_options()
        .descr("Work with templates: edit drafts, accept them, see what is accepted.")
        .footer(
            "Examples:\n  sesamelock template show te-byw > te-byw.ini\n  \
             sesamelock template edit te-byw --file te-byw.ini --base 12\n  \
             sesamelock template diff te-byw\n  \
             sesamelock template accept te-byw --instance http://127.0.0.1:8102",
        )
        .command("template")
}

fn action(
    name: &'static str,
    descr: &'static str,
    action: impl Parser<Action> + 'static,
) -> impl Parser<Command> {
    let platform = platform();
    let form = form();
    construct!(Template { platform, form, action })
        .map(Command::Template)
        .to_options()
        .descr(descr)
        .command(name)
}

fn show() -> impl Parser<Action> {
    let at = long("revision")
        .help("As it was accepted at this revision")
        .argument::<u64>("REVISION")
        .map(|it| show::Which::At(Revision(it)));
    let draft = long("draft").help("The draft").req_flag(show::Which::Draft);
    let which = construct!([at, draft]).fallback(show::Which::Accepted);
    let name = name();
    construct!(show::Options { which, name }).map(Action::Show)
}

fn edit() -> impl Parser<Action> {
    let file = from_file();
    let removal = removal();
    let source = construct!([file, removal]).fallback(edit::Source::Editor);
    let by = by();
    let replace = long("replace").help("Overwrite somebody else's draft").switch();
    let editor = pure(editor());
    let name = name();
    construct!(edit::Options { source, by, replace, editor, name }).map(Action::Edit)
}

fn editor() -> Option<String> {
    let named = EDITOR_ENVS.iter().filter_map(|it| std::env::var(it).ok());
    named.into_iter().find(|it| !it.trim().is_empty())
}

fn from_file() -> impl Parser<edit::Source> {
    let path = long("file")
        .help("Take the text from this file")
        .argument::<PathBuf>("FILE")
        .complete_shell(ini_files());
    let base = base();
    construct!(edit::Source::File { path, base })
}

fn removal() -> impl Parser<edit::Source> {
    let remove = long("remove").help("Remove the template").req_flag(());
    let base = base();
    construct!(remove, base).map(|((), base)| edit::Source::Removal { base })
}

fn accept() -> impl Parser<Action> {
    let by = by();
    let wait = millis("wait-ms", "How long to wait for every instance", ACCEPT_WAIT);
    let operator = operator(instance()).optional();
    let names = positional::<String>("NAME")
        .help("The templates whose drafts to accept together")
        .some("name at least one template");
    let of = of();
    let options = construct!(of, by, wait, names).map(|(of, by, wait, names)| accept::Options {
        of: of.unwrap_or_else(|| by.clone()),
        by,
        wait,
        names,
    });
    construct!(operator, options).map(|(operator, options)| Action::Accept(options, operator))
}

fn discard() -> impl Parser<Action> {
    let of = of();
    let by = by();
    let name = name();
    construct!(of, by, name).map(|(of, by, name)| {
        let of = of.unwrap_or(by);
        Action::Discard(discard::Options { name, of })
    })
}

fn of() -> impl Parser<Option<String>> {
    long("of")
        .help("Who wrote the draft, where that is not you")
        .argument::<String>("NAME")
        .optional()
}

fn history() -> impl Parser<Action> {
    positional::<String>("NAME")
        .help("Only changes of this template")
        .optional()
        .map(Action::History)
}

fn status() -> impl Parser<Command> {
    ask(instance(), pure(()))
        .map(Command::Status)
        .to_options()
        .descr("Tell the status of the fleet, as one instance and its peers see it.")
        .footer("Example:\n  sesamelock status --instance http://127.0.0.1:8102")
        .command("status")
}

fn drain() -> impl Parser<Command> {
    let within = long("within-ms")
        .help("When to cut off what is still under way; else as its settings say")
        .argument::<u64>("MS")
        .map(Millis)
        .optional();
    let wait = long("wait-ms")
        .help("How long to wait for the instance to be gone")
        .argument::<u64>("MS")
        .map(Millis)
        .optional();
    let options = construct!(drain::Options { within, wait });
    let address = positional::<String>("INSTANCE").help("The address of its operator port");
    ask(address, options)
        .map(Command::Drain)
        .to_options()
        .descr("Begin a planned stop of one instance.")
        .footer("Example:\n  sesamelock drain http://127.0.0.1:8102 --wait-ms 60000")
        .command("drain")
}

fn report() -> impl Parser<Command> {
    let svg =
        long("svg").help("Write a plot to this file, too").argument::<PathBuf>("FILE").optional();
    let options = construct!(report::Options { svg });
    ask(instance(), options)
        .map(Command::Report)
        .to_options()
        .descr("Report how fast teams' routes use up what their objectives allow.")
        .footer("Example:\n  sesamelock report --instance http://127.0.0.1:8102 --svg burn.svg")
        .command("report")
}

fn ask<O: 'static>(
    address: impl Parser<String> + 'static,
    options: impl Parser<O> + 'static,
) -> impl Parser<Ask<O>> {
    let form = form();
    // The address may be a positional item, and those come last.
    let rest = construct!(form, options);
    let operator = operator(address);
    construct!(rest, operator).map(|((form, options), operator)| Ask { operator, options, form })
}

fn operator(address: impl Parser<String> + 'static) -> impl Parser<operator::Options> {
    let key_file = long("key-file")
        .help("The file that holds the operator's key; else SESAMELOCK_OPERATOR_KEY holds it")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let answer_within = millis("answer-within-ms", "How long an answer may take", ANSWER_WITHIN);
    construct!(operator::Options { key_file, answer_within, address })
}

fn instance() -> impl Parser<String> {
    long("instance")
        .env(INSTANCE_ENV)
        .help("The address of an instance's operator port")
        .argument::<String>("URL")
}

fn platform() -> impl Parser<store::Options> {
    let address = long("platform")
        .env(PLATFORM_ENV)
        .help("The address of the platform's key-value service")
        .argument::<String>("URL");
    let call_within = millis("call-within-ms", "How long a call to it may take", CALL_WITHIN);
    construct!(store::Options { address, call_within })
}

fn by() -> impl Parser<String> {
    long("as")
        .env(OPERATOR_ENV)
        .help("Your name, as the history shows it; your login name by default")
        .argument::<String>("NAME")
        .fallback_with(login)
}

fn login() -> Result<String, &'static str> {
    std::env::var(LOGIN_ENV).map_err(|_| "say who you are with --as NAME")
}

fn base() -> impl Parser<Revision> {
    long("base")
        .help("The revision that you saw, as `show` tells it")
        .argument::<u64>("REVISION")
        .map(Revision)
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("The template's name")
}

fn form() -> impl Parser<Form> {
    long("json").help("Write JSON for programs").flag(Form::Json, Form::Text)
}

fn millis(name: &'static str, help: &'static str, default: Millis) -> impl Parser<Millis> {
    long(name).help(help).argument::<u64>("MS").map(Millis).fallback(default).display_fallback()
}

fn ini_files() -> ShellComp {
    ShellComp::File { mask: Some("*.ini") }
}
