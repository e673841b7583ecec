//! Just enough JSON for the stand-ins.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    let value = value(&chars, &mut at)?;
    skip(&chars, &mut at);
    (at == chars.len()).then_some(value)
}

fn skip(chars: &[char], at: &mut usize) {
    while *at < chars.len() && chars[*at].is_whitespace() {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Value> {
    skip(chars, at);
    match *chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(chars, at);
                match *chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Value::Table(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = string(chars, at)?;
                        skip(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(chars, at);
                match *chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Value::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(chars, at)?),
                }
            }
        }
        '"' => Some(Value::Text(string(chars, at)?)),
        't' => word(chars, at, "true", Value::Bool(true)),
        'f' => word(chars, at, "false", Value::Bool(false)),
        'n' => word(chars, at, "null", Value::Null),
        _ => {
            let start = *at;
            while *at < chars.len() && "+-.eE0123456789".contains(chars[*at]) {
                *at += 1;
            }
            let text: String = chars[start..*at].iter().collect();
            text.parse().ok().map(Value::Number)
        }
    }
}

fn word(chars: &[char], at: &mut usize, word: &str, value: Value) -> Option<Value> {
    let end = *at + word.len();
    let found: String = chars.get(*at..end)?.iter().collect();
    *at = end;
    (found == word).then_some(value)
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    if *chars.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut text = String::new();
    loop {
        let next = *chars.get(*at)?;
        *at += 1;
        match next {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let digits: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
