//! `completion`: words for shells, and a man page, out of the definitions that the program reads its own
//! arguments by.

use std::fmt::Write as _;

use argh::{ArgsInfo, CommandInfoWithArgs, FlagInfoKind, FromArgs, Optionality};

use crate::outcome::{Outcome, Told, wrong};

/// print the completion for a shell, or the man page
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "completion")]
pub struct Completion {
    /// bash, zsh, fish or man
    #[argh(positional)]
    shell: String,
}

impl Completion {
    /// Prints it.
    pub fn run(self, whole: &CommandInfoWithArgs) -> Told {
        let mut all = Vec::new();
        verbs(whole, "", &mut all);
        let text = match self.shell.as_str() {
            "bash" => bash(&all),
            "zsh" => format!(
                "#compdef elderpond\nautoload -U +X bashcompinit && bashcompinit\n{}",
                bash(&all)
            ),
            "fish" => fish(&all),
            "man" => man(&all),
            other => {
                return Err(wrong(format!(
                    "completion {other:?}: bash, zsh, fish or man"
                )));
            }
        };
        print!("{text}");
        Ok(Outcome::Done)
    }
}

/// A verb, with the words that lead to it.
struct Verb<'a> {
    path: String,
    info: &'a CommandInfoWithArgs,
}

fn verbs<'a>(info: &'a CommandInfoWithArgs, path: &str, all: &mut Vec<Verb<'a>>) {
    let path = path.to_owned();
    all.push(Verb {
        path: path.clone(),
        info,
    });
    for inner in &info.commands {
        let path = format!("{path} {}", inner.name).trim().to_owned();
        verbs(&inner.command, &path, all);
    }
}

impl Verb<'_> {
    /// Its options, as they are typed.
    fn flags(&self) -> Vec<String> {
        let shown = self.info.flags.iter().filter(|flag| !flag.hidden);
        shown
            .map(|flag| format!("--{}", flag.long.trim_start_matches('-')))
            .collect()
    }
}

fn bash(all: &[Verb<'_>]) -> String {
    let mut text = String::from(
        "_elderpond() {\n    local path='' word at\n    COMPREPLY=()\n    \
         for ((at = 1; at < COMP_CWORD; at++)); do\n        word=${COMP_WORDS[at]}\n        \
         case \"$path $word\" in\n",
    );
    let inner: Vec<String> = (all.iter().filter(|verb| !verb.path.is_empty()))
        .map(|verb| format!("\" {}\"", verb.path))
        .collect();
    let _ = writeln!(
        text,
        "            {}) path=\"$path $word\" ;;",
        inner.join(" | ")
    );
    text.push_str("        esac\n    done\n    case \"$path\" in\n");
    for verb in all {
        let space = if verb.path.is_empty() { "" } else { " " };
        let words: Vec<String> = (verb.info.commands.iter().map(|it| it.name.to_owned()))
            .chain(verb.flags())
            .collect();
        let _ = writeln!(
            text,
            "        \"{space}{}\") word='{}' ;;",
            verb.path,
            words.join(" ")
        );
    }
    text.push_str(
        "    esac\n    COMPREPLY=($(compgen -W \"$word\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n\
         complete -o default -F _elderpond elderpond\n",
    );
    text
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\\', "\\\\").replace('\'', "\\'"))
}

fn fish(all: &[Verb<'_>]) -> String {
    let mut text = String::new();
    for verb in all {
        let words: Vec<&str> = verb.path.split_whitespace().collect();
        let inner: Vec<&str> = verb.info.commands.iter().map(|it| it.name).collect();
        let seen = words
            .iter()
            .map(|word| format!("__fish_seen_subcommand_from {word}"));
        let mut seen: Vec<String> = seen.collect();
        if !inner.is_empty() {
            seen.push(format!(
                "not __fish_seen_subcommand_from {}",
                inner.join(" ")
            ));
        }
        let when = quoted(&seen.join("; and "));
        for it in &verb.info.commands {
            let what = quoted(it.command.description);
            let _ = writeln!(
                text,
                "complete -c elderpond -f -n {when} -a {} -d {what}",
                it.name
            );
        }
        for flag in verb.info.flags.iter().filter(|flag| !flag.hidden) {
            let value = if matches!(flag.kind, FlagInfoKind::Option { .. }) {
                " -r"
            } else {
                ""
            };
            let (name, what) = (flag.long.trim_start_matches('-'), quoted(flag.description));
            let _ = writeln!(
                text,
                "complete -c elderpond -n {when} -l {name}{value} -d {what}"
            );
        }
    }
    text
}

fn man(all: &[Verb<'_>]) -> String {
    let plain = |text: &str| text.replace('\\', "\\e").replace('-', "\\-");
    let mut text = String::from(
        ".TH ELDERPOND 1\n.SH NAME\nelderpond \\- an API gateway that repairs itself\n",
    );
    text.push_str(".SH SYNOPSIS\n.B elderpond\n.I verb\n[options]\n.SH VERBS\n");
    for verb in all.iter().filter(|verb| !verb.path.is_empty()) {
        let _ = writeln!(
            text,
            ".SS {}\n{}",
            plain(&verb.path),
            plain(verb.info.description)
        );
        for it in verb.info.positionals.iter().filter(|it| !it.hidden) {
            let may = if matches!(it.optionality, Optionality::Required) {
                ""
            } else {
                " (may be left out)"
            };
            let _ = writeln!(
                text,
                ".TP\n.I {}\n{}{may}",
                plain(it.name),
                plain(it.description)
            );
        }
        for (flag, name) in verb
            .info
            .flags
            .iter()
            .filter(|it| !it.hidden)
            .zip(verb.flags())
        {
            let value = match flag.kind {
                FlagInfoKind::Option { arg_name } => format!(" {arg_name}"),
                FlagInfoKind::Switch => String::new(),
            };
            let _ = writeln!(
                text,
                ".TP\n.B {}{}\n{}",
                plain(&name),
                plain(&value),
                plain(flag.description)
            );
        }
    }
    text.push_str(
        ".SH EXIT STATUS\n0 done; 1 it could not be done; 2 what it was told is wrong; 3 config diff found \
         differences.\n",
    );
    text
}
