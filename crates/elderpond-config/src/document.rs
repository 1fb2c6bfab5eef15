//! A file, its sections, and what is wrong with them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use ini::{Ini, ParseOption};

use crate::Value;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub struct Fault {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1 on; 0 where the whole file is meant.
    pub line: usize,
    /// Section and key, as far as the fault has them.
    pub place: String,
    /// What is wrong, and what is allowed.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, text: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            file,
            line,
            place,
            what,
        } = self;
        match (line, &**place) {
            (0, "") => write!(text, "{file}: {what}"),
            (0, place) => write!(text, "{file}: {place}: {what}"),
            (line, "") => write!(text, "{file}:{line}: {what}"),
            (line, place) => write!(text, "{file}:{line}: {place}: {what}"),
        }
    }
}

/// All that is wrong with a file, one a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, text: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        text.write_str(&lines.join("\n"))
    }
}

/// A file that has been read.
pub struct Document {
    file: Rc<str>,
    sections: Vec<SectionData>,
    faults: RefCell<Vec<Fault>>,
}

struct SectionData {
    file: Rc<str>,
    name: String,
    line: usize,
    entries: Vec<Entry>,
    known: RefCell<BTreeSet<String>>,
    asked: Cell<bool>,
}

struct Entry {
    file: Rc<str>,
    key: String,
    value: String,
    line: usize,
    used: Cell<bool>,
}

/// One section of a [`Document`].
#[derive(Clone, Copy)]
pub struct Section<'a> {
    document: &'a Document,
    data: &'a SectionData,
}

/// A section's line and name, and the lines and names of its keys.
type Place = (usize, String, Vec<(usize, String)>);

/// Where the sections and keys of a text stand: `rust-ini` reads them but tells no lines.
fn places(text: &str) -> Vec<Place> {
    let mut sections = vec![(0, String::new(), Vec::new())];
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.trim();
        if line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split_once(']')) {
            sections.push((number, name.0.trim().to_owned(), Vec::new()));
        } else if let Some(end) = line.find(['=', ':']) {
            let key = line[..end].trim().to_owned();
            if let Some(section) = sections.last_mut() {
                section.2.push((number, key));
            }
        }
    }
    sections
}

impl Document {
    /// Reads a text; `file` is what faults call it.
    ///
    /// # Errors
    /// Text that is no INI file. What is wrong with sections and keys is told by [`Self::finish`].
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let options = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|cause| {
            let (line, what) = (cause.line + 1, format!("not an INI file: {}", cause.msg));
            Faults(vec![Fault {
                file: file.to_owned(),
                line,
                place: String::new(),
                what,
            }])
        })?;
        let document = Self {
            file: file.into(),
            sections: Vec::new(),
            faults: RefCell::default(),
        };
        let mut sections: Vec<SectionData> = Vec::new();
        for (line, name, keys) in places(text) {
            if let Some(before) = sections
                .iter()
                .find(|section| section.name == name && line > 0)
            {
                let what = format!("this section stands on line {} already", before.line);
                document.note(file, line, format!("[{name}]"), what);
                continue;
            }
            let read = ini.section(Some(&*name).filter(|name| !name.is_empty()));
            let mut entries: Vec<Entry> = Vec::new();
            for (line, key) in keys {
                if let Some(before) = entries.iter().find(|entry| entry.key == key) {
                    let what = format!("given on line {} already", before.line);
                    document.note(file, line, place(&name, &key), what);
                    continue;
                }
                let value = read.and_then(|read| read.get(&key)).unwrap_or_default();
                let value = bare(value).to_owned();
                entries.push(Entry {
                    file: document.file.clone(),
                    key,
                    value,
                    line,
                    used: Cell::new(false),
                });
            }
            let known = RefCell::default();
            sections.push(SectionData {
                file: document.file.clone(),
                name,
                line,
                entries,
                known,
                asked: Cell::new(false),
            });
        }
        Ok(Self {
            sections,
            ..document
        })
    }

    fn note(&self, file: &str, line: usize, place: String, what: String) {
        let file = file.to_owned();
        self.faults.borrow_mut().push(Fault {
            file,
            line,
            place,
            what,
        });
    }

    /// Puts this file over another one: what it does not say stands as the other has it. Sections
    /// keep the order of the other; those that only this one has come after.
    pub fn over(mut self, base: Self) -> Self {
        let mut sections = Vec::with_capacity(base.sections.len());
        for under in base.sections {
            let ours = self
                .sections
                .iter()
                .position(|section| section.name == under.name);
            let Some(ours) = ours else {
                sections.push(under);
                continue;
            };
            let mut ours = self.sections.remove(ours);
            for entry in under.entries {
                if !ours.entries.iter().any(|known| known.key == entry.key) {
                    ours.entries.push(entry);
                }
            }
            sections.push(ours);
        }
        sections.append(&mut self.sections);
        self.sections = sections;
        self.faults.get_mut().extend(base.faults.into_inner());
        self
    }

    /// The section of a name, if there is one.
    pub fn section(&self, name: &str) -> Option<Section<'_>> {
        let data = self.sections.iter().find(|section| section.name == name)?;
        data.asked.set(true);
        Some(Section {
            document: self,
            data,
        })
    }

    /// The section of a name, or an empty one: for sections whose keys all have defaults.
    pub fn section_or_empty(&self, name: &str) -> Section<'_> {
        let empty = Section {
            document: self,
            data: &self.sections[0],
        };
        self.section(name).unwrap_or(empty)
    }

    /// Sections called `[kind name]`, in the order of the file, with their names.
    pub fn sections<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (&'a str, Section<'a>)> + 'a {
        self.sections.iter().filter_map(move |data| {
            let (first, name) = data.name.split_once(char::is_whitespace)?;
            data.asked.set(data.asked.get() || first == kind);
            (first == kind).then(|| {
                (
                    name.trim(),
                    Section {
                        document: self,
                        data,
                    },
                )
            })
        })
    }

    /// Notes that the file as a whole lacks something.
    pub fn lacks(&self, what: &str) {
        self.note(&self.file, 0, String::new(), what.to_owned());
    }

    /// Ends the reading: sections and keys that nobody asked for are faults. `known` are the kinds
    /// of section that may be there.
    ///
    /// # Errors
    /// All that was wrong, in the order of the lines.
    pub fn finish(self, known: &[&str]) -> Result<(), Faults> {
        for section in &self.sections {
            if !section.asked.get() && section.line > 0 {
                let kind = section.name.split_whitespace().next().unwrap_or_default();
                let near = nearest(kind, known.iter().copied());
                self.note(
                    &section.file,
                    section.line,
                    format!("[{}]", section.name),
                    format!("no such section{near}"),
                );
                continue;
            }
            let known = section.known.borrow();
            for entry in section.entries.iter().filter(|entry| !entry.used.get()) {
                let near = nearest(&entry.key, known.iter().map(|key| &**key));
                let what = format!("no such key{near}");
                self.note(
                    &entry.file,
                    entry.line,
                    place(&section.name, &entry.key),
                    what,
                );
            }
        }
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }
}

/// A value without the remark that follows it.
fn bare(value: &str) -> &str {
    let end = value.find(" ;").or_else(|| value.find(" #"));
    value[..end.unwrap_or(value.len())].trim()
}

fn place(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("[{section}] {key}")
    }
}

/// The nearest of what is known, as the end of a sentence; nothing if none is near.
fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    // The first letters weigh most; two that changed places, little.
    let near = |name: &str| {
        let swapped = strsim::normalized_damerau_levenshtein(word, name) + 0.1;
        strsim::jaro_winkler(word, name).max(swapped)
    };
    let scored = known.map(|name| (near(name), name));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
    let best = best.filter(|(score, _)| *score > 0.75);
    best.map_or_else(String::new, |(_, name)| format!("; did you mean `{name}`?"))
}

impl<'a> Section<'a> {
    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.data.known.borrow_mut().insert(key.to_owned());
        let entry = self.data.entries.iter().find(|entry| entry.key == key)?;
        entry.used.set(true);
        Some(entry)
    }

    /// A value that may be missing.
    pub fn maybe<T: Value>(&self, key: &str) -> Option<T> {
        let entry = self.entry(key)?;
        Some(T::read(&entry.value).unwrap_or_else(|allowed| {
            let what = format!("`{}` must be {allowed}", entry.value);
            self.document
                .note(&entry.file, entry.line, place(&self.data.name, key), what);
            T::stand_in()
        }))
    }

    /// A value that has a default.
    pub fn or<T: Value>(&self, key: &str, default: T) -> T {
        self.maybe(key).unwrap_or(default)
    }

    /// A value that must be there.
    pub fn required<T: Value>(&self, key: &str) -> T {
        self.maybe(key).unwrap_or_else(|| {
            let allowed = T::read("\u{0}").err().unwrap_or_else(|| "given".to_owned());
            let what = format!("missing; it must be {allowed}");
            self.document.note(
                &self.data.file,
                self.data.line,
                place(&self.data.name, key),
                what,
            );
            T::stand_in()
        })
    }

    /// One of some words, by its index; the first if the key is missing.
    pub fn word(&self, key: &str, words: &[&str]) -> usize {
        let Some(entry) = self.entry(key) else {
            return 0;
        };
        let place_of = words.iter().position(|word| *word == entry.value);
        place_of.unwrap_or_else(|| {
            let near = nearest(&entry.value, words.iter().copied());
            let what = format!(
                "`{}` must be one of {}{near}",
                entry.value,
                words.join(", ")
            );
            self.document
                .note(&entry.file, entry.line, place(&self.data.name, key), what);
            0
        })
    }

    /// Notes a fault of a key's value unless `holds`; `what` follows the value.
    pub fn check(&self, key: &str, holds: bool, what: &str) {
        if !holds {
            let entry = self.data.entries.iter().find(|entry| entry.key == key);
            let nowhere = (&self.data.file, self.data.line, "");
            let given = |entry: &'a Entry| (&entry.file, entry.line, &*entry.value);
            let (file, line, value) = entry.map_or(nowhere, given);
            self.document.note(
                file,
                line,
                place(&self.data.name, key),
                format!("`{value}` {what}"),
            );
        }
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Range, Share, Span};

    const TEXT: &str = "; a remark\n[fleet]\nsize = 12 ; so many\npart = 19%\nwait = 1s..2s\n\n\
        [trouble one]\nkind = slow\n[trouble two]\nkind = sloww\n";

    #[test]
    fn reads_sections_keys_and_remarks() {
        let document = Document::parse("x.ini", TEXT).unwrap();
        let fleet = document.section("fleet").unwrap();
        assert_eq!(fleet.required::<usize>("size"), 12);
        assert_eq!(fleet.or("part", Share(0.0)), Share(0.19));
        assert_eq!(fleet.required::<Range<Span>>("wait").low, Span(1000.0));
        assert_eq!(fleet.maybe::<f64>("absent"), None);
        let troubles: Vec<&str> = document.sections("trouble").map(|(name, _)| name).collect();
        assert_eq!(troubles, ["one", "two"]);
    }

    #[test]
    fn every_fault_is_told_in_one_pass_with_its_line() {
        let text =
            format!("{TEXT}[flet]\nx = 1\n[fleet]\n[more]\nkey = 1\nkey = 2\nsiz = 7\nwait = 3\n");
        let document = Document::parse("x.ini", &text).unwrap();
        let fleet = document.section("fleet").unwrap();
        let _: (usize, Share) = (fleet.required("size"), fleet.required("part"));
        let _: Option<Range<Span>> = fleet.maybe("wait");
        fleet.required::<f64>("speed");
        for (_, trouble) in document.sections("trouble") {
            trouble.word("kind", &["slow", "hang"]);
        }
        let more = document.section("more").unwrap();
        let _: (f64, usize, Span) = (
            more.or("key", 0.0),
            more.or("size", 0),
            more.required("wait"),
        );
        let faults = document
            .finish(&["fleet", "trouble", "more"])
            .unwrap_err()
            .to_string();
        let expected = "x.ini:2: [fleet] speed: missing; it must be a number, 0 or more\n\
            x.ini:10: [trouble two] kind: `sloww` must be one of slow, hang; did you mean `slow`?\n\
            x.ini:11: [flet]: no such section; did you mean `fleet`?\n\
            x.ini:13: [fleet]: this section stands on line 2 already\n\
            x.ini:16: [more] key: given on line 15 already\n\
            x.ini:17: [more] siz: no such key; did you mean `size`?\n\
            x.ini:18: [more] wait: `3` must be a span with its unit: us, ms, s, m or h (as in 1.5s)";
        assert_eq!(faults, expected);
    }

    #[test]
    fn a_file_over_another_says_where_each_fault_stands() {
        let base = Document::parse("base.ini", "[a]\nx = 1\ny = what\n[b]\nz = 3\n").unwrap();
        let over = Document::parse("over.ini", "[a]\n\nx = 2\nw = 1\n")
            .unwrap()
            .over(base);
        let a = over.section("a").unwrap();
        assert_eq!((a.required::<u32>("x"), a.required::<u32>("y")), (2, 0));
        assert_eq!(over.section("b").unwrap().required::<u32>("z"), 3);
        let order: Vec<&str> = over.sections.iter().map(|section| &*section.name).collect();
        assert_eq!(order, ["", "a", "b"]);
        let faults = over.finish(&[]).unwrap_err();
        let places: Vec<(&str, usize)> = faults.0.iter().map(|f| (&*f.file, f.line)).collect();
        assert_eq!(places, [("base.ini", 3), ("over.ini", 4)]);
    }

    #[test]
    fn what_is_no_ini_file_is_said_with_its_line() {
        let faults = Document::parse("x.ini", "[a]\nb = 1\n[c\n").err().unwrap();
        assert_eq!(faults.0.len(), 1);
        assert!(faults.to_string().contains("not an INI file"), "{faults}");
    }
}
