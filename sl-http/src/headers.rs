//! Header fields in received form. Order, case and bytes are preserved, because the fields are
//! forwarded.

use bytes::{BufMut, Bytes, BytesMut};

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name, case preserved.
    pub name: Bytes,
    /// The value without surrounding whitespace; not necessarily UTF-8.
    pub value: Bytes,
}

/// Header fields in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Field>);

impl Headers {
    /// Iterates over all fields.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// Iterates over the values of all fields named `name`. Names are compared without regard
    /// to case here and in the other methods.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(move |it| it.is(name)).map(|it| &it.value)
    }

    /// Returns the value of the first field named `name`.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|it| it.is(name)).map(|it| &it.value)
    }

    /// Returns the value of the only field named `name`. `None` if the field is repeated or
    /// not UTF-8, because two recipients could then read different values.
    pub fn only(&self, name: &str) -> Option<&str> {
        let mut values = self.0.iter().filter(|it| it.is(name));
        let first = values.next()?;
        if values.next().is_some() {
            return None;
        }
        std::str::from_utf8(&first.value).ok()
    }

    /// Whether there is a field named `name`.
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Whether one of the comma-separated elements of `name` is `element`, ignoring case.
    pub fn has_list_element(&self, name: &str, element: &str) -> bool {
        self.list_elements(name).any(|it| it.eq_ignore_ascii_case(element))
    }

    /// Iterates over the comma-separated elements of all fields named `name`. Empty elements
    /// and values that are not UTF-8 are skipped.
    pub fn list_elements<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.all(name)
            .filter_map(|it| std::str::from_utf8(it).ok())
            .flat_map(|it| it.split(','))
            .map(str::trim)
            .filter(|it| !it.is_empty())
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Field { name: name.into(), value: value.into() });
    }

    /// Removes the fields for which `keep` returns false.
    pub fn retain(&mut self, keep: impl FnMut(&Field) -> bool) {
        self.0.retain(keep);
    }

    /// Appends all encoded fields and the empty line after them to `buf`.
    pub fn write(&self, buf: &mut BytesMut) {
        for field in &self.0 {
            buf.put_slice(&field.name);
            buf.put_slice(b": ");
            buf.put_slice(&field.value);
            buf.put_slice(b"\r\n");
        }
        buf.put_slice(b"\r\n");
    }
}

impl Field {
    /// Whether the field's name is `name`, ignoring case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

impl FromIterator<Field> for Headers {
    fn from_iter<I: IntoIterator<Item = Field>>(fields: I) -> Headers {
        Headers(fields.into_iter().collect())
    }
}
