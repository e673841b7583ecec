//! A small JSON reader and writer, so that the stand-ins need no library.

use std::fmt;

/// A JSON value; objects keep the order of their fields.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(value: &str) -> Self {
        Self::Text(value.to_owned())
    }

    pub fn number(value: u64) -> Self {
        Self::Number(value as f64)
    }

    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        Self::Object(
            fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
        )
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(other, _)| other == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Number(value) if *value >= 0.0 => Some(*value as u64),
            _ => None,
        }
    }

    pub fn as_str(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Parses a whole text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => write!(out, "null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Number(value) => write!(out, "{value}"),
            Self::Text(text) => write_text(out, text),
            Self::List(items) => {
                write!(out, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Self::Object(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for character in text.chars() {
        match character {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    write!(out, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            text.extend(character.to_string().as_bytes());
                            self.at += 4;
                        }
                        other => text.push(other),
                    }
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
