//! Reads TOML by hand, so that every fault is found and has its line.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Something wrong with the file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The file.
    pub file: String,
    /// The key, from the file's root; empty for what is no TOML.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.what)
    }
}

/// A file that is being read.
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Reader<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Reader {
            file,
            text,
            faults: RefCell::default(),
        }
    }

    /// Reads the whole file by what `read` asks of its root.
    pub fn root(&self, read: impl FnOnce(&Section<'_>)) {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let what = error.message().to_owned();
            self.fault(error.span().unwrap_or_default(), String::new(), what);
        }
        if errors.is_empty() {
            let span = table.span();
            let section = Section::new(self, table.get_ref(), String::new(), span);
            read(&section);
            section.end();
        }
    }

    pub fn finish<T>(self, read: T) -> Result<T, Vec<Fault>> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        if faults.is_empty() {
            Ok(read)
        } else {
            Err(faults)
        }
    }

    fn fault(&self, span: Range<usize>, key: String, what: String) {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = 1 + before.matches('\n').count();
        self.faults.borrow_mut().push(Fault {
            line,
            file: self.file.to_owned(),
            key,
            what,
        });
    }
}

/// A table of the file.
pub struct Section<'a> {
    reader: &'a Reader<'a>,
    table: &'a DeTable<'a>,
    path: String,
    span: Range<usize>,
    asked: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    fn new(
        reader: &'a Reader<'a>,
        table: &'a DeTable<'a>,
        path: String,
        span: Range<usize>,
    ) -> Self {
        Section {
            reader,
            table,
            path,
            span,
            asked: RefCell::default(),
        }
    }

    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn get(&self, name: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.asked.borrow_mut().insert(name);
        self.table
            .iter()
            .find(|(key, _)| key.get_ref() == name)
            .map(|(_, value)| value)
    }

    /// Whether the key is there.
    pub fn has(&self, name: &'static str) -> bool {
        self.get(name).is_some()
    }

    /// Tells of a fault in a key that is there, or else in this table.
    pub fn fault(&self, name: &'static str, what: impl Into<String>) {
        let span = self.get(name).map_or(self.span.clone(), Spanned::span);
        self.reader.fault(span, self.key(name), what.into());
    }

    /// Tells of every key that nobody has asked for.
    pub fn end(&self) {
        let asked = self.asked.borrow();
        for (key, _) in self
            .table
            .iter()
            .filter(|(key, _)| !asked.contains(key.get_ref().as_ref()))
        {
            let known: Vec<&str> = asked.iter().copied().collect();
            let what = format!("unknown key; known here: {}", known.join(", "));
            self.reader.fault(key.span(), self.key(key.get_ref()), what);
        }
    }

    /// A table within this one.
    pub fn table(&self, name: &'static str) -> Option<Section<'a>> {
        let value = self.get(name)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(Section::new(
                self.reader,
                table,
                self.key(name),
                value.span(),
            )),
            other => {
                self.wrong(name, "a table", other);
                None
            }
        }
    }

    /// The tables of an array of tables.
    pub fn tables(&self, name: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let DeValue::Array(all) = value.get_ref() else {
            self.wrong(name, "an array of tables", value.get_ref());
            return Vec::new();
        };
        let sections = all
            .iter()
            .enumerate()
            .filter_map(|(i, value)| match value.get_ref() {
                DeValue::Table(table) => Some(Section::new(
                    self.reader,
                    table,
                    format!("{}[{i}]", self.key(name)),
                    value.span(),
                )),
                other => {
                    self.wrong(name, "an array of tables", other);
                    None
                }
            });
        sections.collect()
    }

    /// Text, if it is there.
    pub fn text(&self, name: &'static str) -> Option<&'a str> {
        let value = self.get(name)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.wrong(name, "text", value.get_ref());
        }
        text
    }

    /// Text that must be there.
    pub fn needed(&self, name: &'static str) -> Option<&'a str> {
        if !self.has(name) {
            self.fault(name, "is missing");
        }
        self.text(name).filter(|text| {
            if text.is_empty() {
                self.fault(name, "is empty");
            }
            !text.is_empty()
        })
    }

    /// Texts of an array.
    pub fn texts(&self, name: &'static str) -> Vec<&'a str> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let all = value.get_ref().as_array();
        let texts: Option<Vec<&str>> =
            all.and_then(|all| all.iter().map(|text| text.get_ref().as_str()).collect());
        if texts.is_none() {
            self.wrong(name, "an array of texts", value.get_ref());
        }
        texts.unwrap_or_default()
    }

    /// Text that reads as a `T`.
    pub fn parsed<T: FromStr<Err: fmt::Display>>(&self, name: &'static str) -> Option<T> {
        let text = self.text(name)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(name, format!("{text:?}: {e}"));
                None
            }
        }
    }

    /// A whole number within bounds, both included.
    pub fn number(&self, name: &'static str, least: i64, most: i64) -> Option<i64> {
        let value = self.get(name)?;
        let number = value.get_ref().as_integer();
        let number =
            number.and_then(|n| i64::from_str_radix(&n.as_str().replace('_', ""), n.radix()).ok());
        match number {
            Some(number) if (least..=most).contains(&number) => Some(number),
            Some(number) => {
                self.fault(name, format!("{number} is not within {least} and {most}"));
                None
            }
            None => {
                self.wrong(name, "a whole number", value.get_ref());
                None
            }
        }
    }

    /// One of some words, by its position.
    pub fn word(&self, name: &'static str, words: &[&str]) -> Option<usize> {
        let text = self.text(name)?;
        let place = words.iter().position(|word| *word == text);
        if place.is_none() {
            self.fault(name, format!("{text:?} is none of {}", words.join(", ")));
        }
        place
    }

    /// A name out of the platform's settings, by its position there; unchecked where those can't be read.
    pub fn named(&self, name: &'static str, what: &str, known: Option<&[String]>) -> Option<usize> {
        let text = self.text(name)?;
        let Some(known) = known else { return Some(0) };
        let place = known.iter().position(|known| known == text);
        if place.is_none() {
            self.fault(
                name,
                format!(
                    "{text:?} is no {what} of the settings: {}",
                    known.join(", ")
                ),
            );
        }
        place
    }

    fn wrong(&self, name: &'static str, wanted: &str, value: &DeValue<'_>) {
        self.fault(name, format!("must be {wanted}, is {}", value.type_str()));
    }
}
