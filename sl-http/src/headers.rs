//! Header fields as they came: order, case and bytes are kept, because they are passed on.

use bytes::{BufMut, Bytes, BytesMut};

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name as it was written.
    pub name: Bytes,
    /// The value without the white space around it; any bytes.
    pub value: Bytes,
}

/// Header fields in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Field>);

impl Headers {
    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// All values of the fields called `name`, whatever their case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(move |it| it.is(name)).map(|it| &it.value)
    }

    /// The first value of `name`.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|it| it.is(name)).map(|it| &it.value)
    }

    /// The only value of `name` as text; none where it is repeated or no UTF-8, because
    /// two readers could then take different values for it.
    pub fn only(&self, name: &str) -> Option<&str> {
        let mut values = self.0.iter().filter(|it| it.is(name));
        let first = values.next()?;
        if values.next().is_some() {
            return None;
        }
        std::str::from_utf8(&first.value).ok()
    }

    /// Whether a field called `name` stands.
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Whether one of the comma-separated words of `name` is `word`, whatever the case.
    pub fn has_list_element(&self, name: &str, word: &str) -> bool {
        self.list_elements(name).any(|it| it.eq_ignore_ascii_case(word))
    }

    /// The comma-separated words of all fields called `name`.
    pub fn list_elements<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.all(name)
            .filter_map(|it| std::str::from_utf8(it).ok())
            .flat_map(|it| it.split(','))
            .map(str::trim)
            .filter(|it| !it.is_empty())
    }

    /// Adds a field after the others.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Field { name: name.into(), value: value.into() });
    }

    /// Keeps the fields for which `keep` holds.
    pub fn retain(&mut self, keep: impl FnMut(&Field) -> bool) {
        self.0.retain(keep);
    }

    /// Writes all fields and the empty line after them.
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
    /// Whether this field is called `name`, whatever the case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

impl FromIterator<Field> for Headers {
    fn from_iter<I: IntoIterator<Item = Field>>(fields: I) -> Headers {
        Headers(fields.into_iter().collect())
    }
}
