//! Reads TOML tables field by field and collects all errors.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::str::FromStr;

use toml::de::DeTable;
use toml::de::DeValue;
use toml::Spanned;

use crate::ConfigError;

/// Maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 64;

/// Description of a valid name.
const NAME_RULE: &str = "1 to 64 characters of a-z, 0-9, '-' and '.', no '.' first";

/// Errors in one file, shared by the readers of its tables.
struct ErrorLog {
    file: String,
    text: String,
    errors: RefCell<Vec<ConfigError>>,
}

impl ErrorLog {
    fn add(&self, span: &Range<usize>, field: &str, found: impl Display, allowed: impl Display) {
        let start = span.start.min(self.text.len());
        let line = self.text.as_bytes()[..start]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
            + 1;
        self.errors.borrow_mut().push(ConfigError {
            file: self.file.clone(),
            line,
            field: field.to_owned(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        });
    }
}

/// Reader of one table. [`TableReader::finish`] reports fields that were never requested as errors.
pub(crate) struct TableReader<'a> {
    log: Rc<ErrorLog>,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    path: String,
    requested: RefCell<BTreeSet<String>>,
}

/// Parses a file and reads its root table.
///
/// # Errors
///
/// Returns all errors, sorted by line.
pub(crate) fn read_file<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&TableReader<'_>) -> Option<T>,
) -> Result<T, Vec<ConfigError>> {
    let log = Rc::new(ErrorLog {
        file: file.to_owned(),
        text: text.to_owned(),
        errors: RefCell::new(Vec::new()),
    });
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        let span = error.span().unwrap_or(0..0);
        log.add(&span, "(syntax)", error.message().trim(), "TOML");
    }
    let mut value = None;
    if syntax_errors.is_empty() {
        let reader = TableReader::new(log.clone(), table.get_ref(), 0..0, String::new());
        value = read(&reader);
        reader.finish();
    }
    let mut errors = log.errors.borrow().clone();
    errors.sort_by(|left, right| (left.line, &left.field).cmp(&(right.line, &right.field)));
    match value {
        Some(value) if errors.is_empty() => Ok(value),
        _ => Err(errors),
    }
}

impl<'a> TableReader<'a> {
    fn new(log: Rc<ErrorLog>, table: &'a DeTable<'a>, span: Range<usize>, path: String) -> Self {
        let requested = RefCell::new(BTreeSet::new());
        Self {
            log,
            table,
            span,
            path,
            requested,
        }
    }

    /// Adds an error at a field of the table, or at the table itself if the field is absent.
    pub(crate) fn add_error(&self, field: &str, found: impl Display, allowed: impl Display) {
        let span = self.span_of(field);
        self.log.add(&span, &self.path_of(field), found, allowed);
    }

    /// Returns whether the table has a field.
    pub(crate) fn has(&self, field: &str) -> bool {
        self.requested.borrow_mut().insert(field.to_owned());
        self.table.contains_key(field)
    }

    /// Reads a string.
    pub(crate) fn text(&self, field: &str) -> Option<String> {
        let value = self.required(field, "a text")?;
        self.as_text(field, value)
    }

    /// Reads an optional string.
    pub(crate) fn optional_text(&self, field: &str) -> Option<String> {
        let value = self.value(field)?;
        self.as_text(field, value)
    }

    /// Reads a name.
    pub(crate) fn name(&self, field: &str) -> Option<String> {
        let name = self.text(field)?;
        if is_name(&name) {
            return Some(name);
        }
        self.add_error(field, format!("{name:?}"), NAME_RULE);
        None
    }

    /// Reads an integer within a range.
    pub(crate) fn integer(&self, field: &str, range: RangeInclusive<i64>) -> Option<i64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.required(field, &allowed)?;
        let number = value
            .get_ref()
            .as_integer()
            .and_then(|found| found.to_string().parse().ok());
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                self.add_error(field, describe(value.get_ref()), allowed);
                None
            }
        }
    }

    /// Reads an integer within a range, or returns the default if it is absent or invalid.
    pub(crate) fn integer_or(&self, field: &str, range: RangeInclusive<i64>, default: i64) -> i64 {
        if !self.has(field) {
            return default;
        }
        self.integer(field, range).unwrap_or(default)
    }

    /// Reads a number within a range, or returns the default if it is absent or invalid.
    pub(crate) fn number_or(&self, field: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(value) = self.value(field) else {
            return default;
        };
        let text = match value.get_ref() {
            DeValue::Float(number) => number.to_string(),
            DeValue::Integer(number) => number.to_string(),
            _ => String::new(),
        };
        match text.parse::<f64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!("a number from {} to {}", range.start(), range.end());
                self.add_error(field, describe(value.get_ref()), allowed);
                default
            }
        }
    }

    /// Reads a boolean, or returns the default if it is absent or invalid.
    pub(crate) fn flag_or(&self, field: &str, default: bool) -> bool {
        let Some(value) = self.value(field) else {
            return default;
        };
        value.get_ref().as_bool().unwrap_or_else(|| {
            self.add_error(field, describe(value.get_ref()), "true or false");
            default
        })
    }

    /// Reads a string and parses it, for example as an address.
    pub(crate) fn parsed<T: FromStr>(&self, field: &str, allowed: &str) -> Option<T> {
        let text = self.text(field)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.add_error(field, format!("{text:?}"), allowed);
        }
        parsed
    }

    /// Reads a list of strings and parses each; an absent list is empty.
    pub(crate) fn parsed_list<T: FromStr>(&self, field: &str, allowed: &str) -> Vec<T> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(list) = value.get_ref().as_array() else {
            self.add_error(
                field,
                describe(value.get_ref()),
                format!("a list, each {allowed}"),
            );
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (at, item) in list.iter().enumerate() {
            match item.get_ref().as_str().and_then(|text| text.parse().ok()) {
                Some(value) => parsed.push(value),
                None => {
                    let path = format!("{}[{at}]", self.path_of(field));
                    self.log
                        .add(&item.span(), &path, describe(item.get_ref()), allowed);
                }
            }
        }
        parsed
    }

    /// Reads a table of strings and parses each of its names and values; an absent table is empty.
    pub(crate) fn parsed_map<T: FromStr + Ord>(
        &self,
        field: &str,
        allowed: &str,
    ) -> BTreeMap<T, T> {
        let Some(value) = self.value(field) else {
            return BTreeMap::new();
        };
        let Some(table) = value.get_ref().as_table() else {
            let allowed = format!("a table, each name and value {allowed}");
            self.add_error(field, describe(value.get_ref()), allowed);
            return BTreeMap::new();
        };
        let mut parsed = BTreeMap::new();
        for (name, item) in table {
            let path = format!("{}.{}", self.path_of(field), name.get_ref());
            let key = name.get_ref().parse().ok();
            if key.is_none() {
                let found = format!("{:?}", name.get_ref());
                self.log.add(&name.span(), &path, found, allowed);
            }
            let text = item.get_ref().as_str();
            let value = text.and_then(|text| text.parse().ok());
            if value.is_none() {
                let found = describe(item.get_ref());
                self.log.add(&item.span(), &path, found, allowed);
            }
            parsed.extend(key.zip(value));
        }
        parsed
    }

    /// Reads a string that must be one of several names.
    pub(crate) fn choice<T: Copy>(&self, field: &str, names: &[(&str, T)]) -> Option<T> {
        let text = self.text(field)?;
        let found = names.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let known: Vec<&str> = names.iter().map(|(name, _)| *name).collect();
            self.add_error(
                field,
                format!("{text:?}"),
                format!("one of {}", known.join(", ")),
            );
        }
        found.map(|(_, value)| *value)
    }

    /// Reads each table of an array of tables.
    pub(crate) fn tables<T>(
        &self,
        field: &str,
        read: impl Fn(&TableReader<'_>) -> Option<T>,
    ) -> Vec<Option<T>> {
        let Some(value) = self.required(field, "a list of tables") else {
            return Vec::new();
        };
        let Some(list) = value.get_ref().as_array() else {
            self.add_error(field, describe(value.get_ref()), "a list of tables");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (at, item) in list.iter().enumerate() {
            let path = format!("{}[{at}]", self.path_of(field));
            found.push(self.read_table(item, path, &read));
        }
        found
    }

    /// Reads each named subtable of a table; an absent table has none.
    pub(crate) fn named_tables<T>(
        &self,
        field: &str,
        read: impl Fn(&TableReader<'_>) -> Option<T>,
    ) -> Vec<(String, T)> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(table) = value.get_ref().as_table() else {
            self.add_error(field, describe(value.get_ref()), "a table of tables");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (name, item) in table {
            let path = format!("{}.{}", self.path_of(field), name.get_ref());
            if !is_name(name.get_ref()) {
                self.log.add(
                    &name.span(),
                    &path,
                    format!("{:?}", name.get_ref()),
                    NAME_RULE,
                );
            }
            if let Some(inner) = self.read_table(item, path, &read) {
                found.push((name.get_ref().to_string(), inner));
            }
        }
        found
    }

    /// Reads an optional subtable.
    pub(crate) fn table<T>(
        &self,
        field: &str,
        read: impl Fn(&TableReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(field)?;
        self.read_table(value, self.path_of(field), &read)
    }

    fn read_table<T>(
        &self,
        item: &Spanned<DeValue<'_>>,
        path: String,
        read: &impl Fn(&TableReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(table) = item.get_ref().as_table() else {
            self.log
                .add(&item.span(), &path, describe(item.get_ref()), "a table");
            return None;
        };
        let reader = TableReader::new(self.log.clone(), table, item.span(), path);
        let value = read(&reader);
        reader.finish();
        value
    }

    /// Reports each field that was never requested.
    fn finish(&self) {
        let requested = self.requested.borrow();
        let known: Vec<&str> = requested.iter().map(String::as_str).collect();
        for (name, _) in self.table {
            if !requested.contains(name.get_ref().as_ref()) {
                let path = self.path_of(name.get_ref());
                let allowed = format!("one of the fields {}", known.join(", "));
                self.log
                    .add(&name.span(), &path, "an unknown field", allowed);
            }
        }
    }

    fn value(&self, field: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.requested.borrow_mut().insert(field.to_owned());
        self.table.get(field)
    }

    fn required(&self, field: &str, allowed: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        let value = self.value(field);
        if value.is_none() {
            self.add_error(field, "nothing", allowed);
        }
        value
    }

    fn as_text(&self, field: &str, value: &Spanned<DeValue<'_>>) -> Option<String> {
        let text = value.get_ref().as_str().map(str::to_owned);
        if text.is_none() {
            self.add_error(field, describe(value.get_ref()), "a text");
        }
        text
    }

    fn span_of(&self, field: &str) -> Range<usize> {
        let found = self.table.get_key_value(field);
        found.map_or(self.span.clone(), |(name, _)| name.span())
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            return field.to_owned();
        }
        format!("{}.{field}", self.path)
    }
}

/// Returns whether a text is a valid name of a template, account, service, hall or target.
fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    !text.is_empty()
        && text.len() <= MAX_NAME_LEN
        && !text.starts_with('.')
        && text.bytes().all(allowed)
}

fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => format!("a value of type {}", other.type_str()),
    }
}
