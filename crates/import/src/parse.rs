//! nginx's notation: words, `;` and blocks. Words may be quoted, with backslashes; `#` begins a comment where a
//! word could begin; `${name}` belongs to its word.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub file: Arc<PathBuf>,
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)
    }
}

/// A name, its arguments, and what stands in its block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    pub name: String,
    pub arguments: Vec<String>,
    pub block: Option<Vec<Directive>>,
    pub place: Place,
}

impl Directive {
    /// As it could be written on one line, without its block.
    pub fn text(&self) -> String {
        let words = std::iter::once(&self.name).chain(&self.arguments);
        words.map(String::as_str).collect::<Vec<_>>().join(" ")
    }

    /// Itself and all that stand in it.
    pub fn count(&self) -> usize {
        1 + self
            .block
            .iter()
            .flatten()
            .map(Directive::count)
            .sum::<usize>()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct SyntaxError {
    pub place: Place,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    Word(String),
    End,
    Open,
    Close,
}

struct Reader<'a> {
    text: std::iter::Peekable<std::str::Chars<'a>>,
    file: Arc<PathBuf>,
    line: usize,
}

/// Blocks within blocks.
const DEEPEST: usize = 64;
/// Blocks in another language, in which braces and semicolons mean something else.
const FOREIGN: &str = "_by_lua_block";

impl Reader<'_> {
    fn place(&self) -> Place {
        Place {
            file: self.file.clone(),
            line: self.line,
        }
    }

    fn bad(&self, what: impl Into<String>) -> SyntaxError {
        SyntaxError {
            place: self.place(),
            what: what.into(),
        }
    }

    fn take(&mut self) -> Option<char> {
        let next = self.text.next()?;
        self.line += usize::from(next == '\n');
        Some(next)
    }

    fn token(&mut self) -> Result<Option<(Token, Place)>, SyntaxError> {
        loop {
            match self.text.peek() {
                None => return Ok(None),
                Some(c) if c.is_whitespace() => drop(self.take()),
                Some('#') => while !matches!(self.take(), None | Some('\n')) {},
                Some(_) => break,
            }
        }
        let place = self.place();
        let token = match self.text.peek().copied() {
            Some(';') => Token::End,
            Some('{') => Token::Open,
            Some('}') => Token::Close,
            Some(quote @ ('"' | '\'')) => {
                self.take();
                return self
                    .quoted(quote)
                    .map(|word| Some((Token::Word(word), place)));
            }
            _ => return Ok(Some((Token::Word(self.word()), place))),
        };
        self.take();
        Ok(Some((token, place)))
    }

    fn quoted(&mut self, quote: char) -> Result<String, SyntaxError> {
        let begun = self.place();
        let mut word = String::new();
        loop {
            match self.take() {
                None => {
                    return Err(SyntaxError {
                        place: begun,
                        what: format!("a {quote} is not closed"),
                    })
                }
                // What a backslash does not stand before for the notation's sake, as in patterns, keeps it.
                Some('\\') => match self.take() {
                    Some(c @ ('"' | '\'' | '\\')) => word.push(c),
                    other => word.extend(std::iter::once('\\').chain(other)),
                },
                Some(c) if c == quote => return Ok(word),
                Some(c) => word.push(c),
            }
        }
    }

    fn word(&mut self) -> String {
        let mut word = String::new();
        while let Some(c) = self.text.peek().copied() {
            let variable = c == '{' && word.ends_with('$');
            if c.is_whitespace() || matches!(c, ';' | '}') || (c == '{' && !variable) {
                break;
            }
            self.take();
            word.push(c);
            if c == '\\' {
                word.extend(self.take());
            }
            if variable {
                while let Some(c) = self
                    .text
                    .peek()
                    .copied()
                    .filter(|c| *c != '}' && !c.is_whitespace())
                {
                    self.take();
                    word.push(c);
                }
                word.extend(self.text.next_if_eq(&'}'));
            }
        }
        word
    }

    /// Passes over a block of another language, by its braces.
    fn foreign(&mut self) -> Result<(), SyntaxError> {
        let begun = self.place();
        let mut open = 1;
        while open > 0 {
            match self.take() {
                None => {
                    return Err(SyntaxError {
                        place: begun,
                        what: "a block is not closed".to_string(),
                    })
                }
                Some('{') => open += 1,
                Some('}') => open -= 1,
                Some(_) => {}
            }
        }
        Ok(())
    }

    fn block(
        &mut self,
        depth: usize,
        opened: Option<&Place>,
    ) -> Result<Vec<Directive>, SyntaxError> {
        if depth > DEEPEST {
            return Err(self.bad(format!("more than {DEEPEST} blocks within each other")));
        }
        let mut directives = Vec::new();
        let mut words: Vec<String> = Vec::new();
        let mut begun = self.place();
        loop {
            let Some((token, place)) = self.token()? else {
                return match (words.first(), opened) {
                    (Some(word), _) => Err(SyntaxError {
                        place: begun,
                        what: format!("`{word}` has no ; at its end"),
                    }),
                    (None, Some(opened)) => Err(SyntaxError {
                        place: opened.clone(),
                        what: "a block is not closed".to_string(),
                    }),
                    (None, None) => Ok(directives),
                };
            };
            match token {
                Token::Word(word) => {
                    if words.is_empty() {
                        begun = place;
                    }
                    words.push(word);
                }
                Token::Close if words.is_empty() && opened.is_some() => return Ok(directives),
                Token::Close => {
                    let what = words
                        .first()
                        .map_or("a } closes nothing".to_string(), |word| {
                            format!("`{word}` has no ; at its end")
                        });
                    return Err(SyntaxError { place, what });
                }
                Token::End | Token::Open if words.is_empty() => {
                    return Err(SyntaxError {
                        place,
                        what: "a directive without a name".to_string(),
                    });
                }
                end => {
                    let mut arguments = std::mem::take(&mut words);
                    let name = arguments.remove(0);
                    let block = match end {
                        Token::Open if name.ends_with(FOREIGN) => {
                            self.foreign()?;
                            Some(Vec::new())
                        }
                        Token::Open => Some(self.block(depth + 1, Some(&place))?),
                        _ => None,
                    };
                    directives.push(Directive {
                        name,
                        arguments,
                        block,
                        place: begun.clone(),
                    });
                }
            }
        }
    }
}

pub fn parse(text: &str, file: &Path) -> Result<Vec<Directive>, SyntaxError> {
    let file = Arc::new(file.to_path_buf());
    Reader {
        text: text.chars().peekable(),
        file,
        line: 1,
    }
    .block(0, None)
}
