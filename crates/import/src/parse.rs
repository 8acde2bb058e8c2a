//! Parses nginx's notation: words, `;` and blocks. Words may be quoted, with backslashes; `#` starts a comment
//! where a word could start; `${name}` belongs to its word.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Where a directive stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file.
    pub file: Arc<PathBuf>,
    /// The line, from 1.
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)
    }
}

/// A directive: a name, its arguments and its block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// The first word.
    pub name: String,
    /// The other words.
    pub arguments: Vec<String>,
    /// The directives in its block, if it has one.
    pub block: Option<Vec<Directive>>,
    /// Where its name stands.
    pub place: Place,
}

impl Directive {
    /// The directive on one line, without its block.
    pub fn text(&self) -> String {
        let words = std::iter::once(&self.name).chain(&self.arguments);
        words.map(String::as_str).collect::<Vec<_>>().join(" ")
    }

    /// How many directives it is with all in its block.
    pub fn count(&self) -> usize {
        1 + self
            .block
            .iter()
            .flatten()
            .map(Directive::count)
            .sum::<usize>()
    }
}

/// Text that is not in nginx's notation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct SyntaxError {
    /// Where the error is.
    pub place: Place,
    /// What is wrong there.
    pub what: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    Word(String),
    /// `;`
    Semicolon,
    /// `{`
    BlockStart,
    /// `}`
    BlockEnd,
}

struct Parser<'a> {
    text: std::iter::Peekable<std::str::Chars<'a>>,
    file: Arc<PathBuf>,
    line: usize,
}

/// Blocks within blocks.
const MAX_DEPTH: usize = 64;
/// Blocks in another language, in which braces and semicolons mean something else.
const FOREIGN_BLOCK_SUFFIX: &str = "_by_lua_block";

impl Parser<'_> {
    fn place(&self) -> Place {
        Place {
            file: self.file.clone(),
            line: self.line,
        }
    }

    fn error(&self, what: impl Into<String>) -> SyntaxError {
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
            Some(';') => Token::Semicolon,
            Some('{') => Token::BlockStart,
            Some('}') => Token::BlockEnd,
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
        let start = self.place();
        let mut word = String::new();
        loop {
            match self.take() {
                None => {
                    return Err(SyntaxError {
                        place: start,
                        what: format!("a {quote} is not closed"),
                    })
                }
                // A backslash before another character, as in regular expressions, stays.
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

    /// Skips a block of another language, by its braces.
    fn skip_foreign_block(&mut self) -> Result<(), SyntaxError> {
        let start = self.place();
        let mut open = 1;
        while open > 0 {
            match self.take() {
                None => return Err(unclosed_block(start)),
                Some('{') => open += 1,
                Some('}') => open -= 1,
                Some(_) => {}
            }
        }
        Ok(())
    }

    /// The directives up to the block's end; `opened`: where its brace stands, `None` for a whole file.
    fn block(
        &mut self,
        depth: usize,
        opened: Option<&Place>,
    ) -> Result<Vec<Directive>, SyntaxError> {
        if depth > MAX_DEPTH {
            return Err(self.error(format!("more than {MAX_DEPTH} blocks within each other")));
        }
        let mut directives = Vec::new();
        let mut words: Vec<String> = Vec::new();
        let mut start = self.place();
        while let Some((token, place)) = self.token()? {
            match token {
                Token::Word(word) => {
                    if words.is_empty() {
                        start = place;
                    }
                    words.push(word);
                }
                Token::BlockEnd => {
                    return match (words.first(), opened) {
                        (Some(word), _) => Err(unterminated(word, place)),
                        (None, Some(_)) => Ok(directives),
                        (None, None) => Err(SyntaxError {
                            place,
                            what: "a } closes nothing".to_string(),
                        }),
                    };
                }
                Token::Semicolon | Token::BlockStart if words.is_empty() => {
                    let what = "a directive without a name".to_string();
                    return Err(SyntaxError { place, what });
                }
                Token::Semicolon => {
                    directives.push(directive(std::mem::take(&mut words), None, start.clone()));
                }
                Token::BlockStart => {
                    let words = std::mem::take(&mut words);
                    let block = self.inner_block(&words[0], depth, &place)?;
                    directives.push(directive(words, Some(block), start.clone()));
                }
            }
        }
        match (words.first(), opened) {
            (Some(word), _) => Err(unterminated(word, start)),
            (None, Some(opened)) => Err(unclosed_block(opened.clone())),
            (None, None) => Ok(directives),
        }
    }

    /// The block of a directive, after its opening brace.
    fn inner_block(
        &mut self,
        name: &str,
        depth: usize,
        opened: &Place,
    ) -> Result<Vec<Directive>, SyntaxError> {
        if name.ends_with(FOREIGN_BLOCK_SUFFIX) {
            self.skip_foreign_block()?;
            return Ok(Vec::new());
        }
        self.block(depth + 1, Some(opened))
    }
}

fn unclosed_block(place: Place) -> SyntaxError {
    let what = "a block is not closed".to_string();
    SyntaxError { place, what }
}

fn unterminated(word: &str, place: Place) -> SyntaxError {
    let what = format!("`{word}` has no ; at its end");
    SyntaxError { place, what }
}

/// A directive from its words, of which there is at least one.
fn directive(mut words: Vec<String>, block: Option<Vec<Directive>>, place: Place) -> Directive {
    let name = words.remove(0);
    Directive {
        name,
        arguments: words,
        block,
        place,
    }
}

/// Parses a file's text.
pub fn parse(text: &str, file: &Path) -> Result<Vec<Directive>, SyntaxError> {
    let mut parser = Parser {
        text: text.chars().peekable(),
        file: Arc::new(file.to_path_buf()),
        line: 1,
    };
    parser.block(0, None)
}
