//! Parses nginx's syntax: words, `;` and blocks. Words may be quoted, with backslash escapes; `#` starts a comment
//! only at the start of a word; the braces of `${name}` are part of the word.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A position in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourcePosition {
    /// The file.
    pub file: Arc<PathBuf>,
    /// The line number, from 1.
    pub line: usize,
}

impl fmt::Display for SourcePosition {
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
    /// The position of its name.
    pub position: SourcePosition,
}

impl Directive {
    /// The directive on one line, without its block.
    pub fn text(&self) -> String {
        let words = std::iter::once(&self.name).chain(&self.arguments);
        words.map(String::as_str).collect::<Vec<_>>().join(" ")
    }

    /// The number of directives, including itself and all those nested in its block.
    pub fn count(&self) -> usize {
        1 + self
            .block
            .iter()
            .flatten()
            .map(Directive::count)
            .sum::<usize>()
    }
}

/// A syntax error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{position}: {problem}")]
pub struct SyntaxError {
    /// The position of the error.
    pub position: SourcePosition,
    /// What is wrong there.
    pub problem: String,
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

/// The maximum nesting depth of blocks.
const MAX_NESTING_DEPTH: usize = 64;
/// The end of the names of directives whose block is Lua code, in which semicolons do not end directives.
const FOREIGN_BLOCK_SUFFIX: &str = "_by_lua_block";

impl Parser<'_> {
    fn position(&self) -> SourcePosition {
        SourcePosition {
            file: self.file.clone(),
            line: self.line,
        }
    }

    fn error(&self, problem: impl Into<String>) -> SyntaxError {
        SyntaxError {
            position: self.position(),
            problem: problem.into(),
        }
    }

    fn take(&mut self) -> Option<char> {
        let next = self.text.next()?;
        self.line += usize::from(next == '\n');
        Some(next)
    }

    fn token(&mut self) -> Result<Option<(Token, SourcePosition)>, SyntaxError> {
        loop {
            match self.text.peek() {
                None => return Ok(None),
                Some(c) if c.is_whitespace() => drop(self.take()),
                Some('#') => while !matches!(self.take(), None | Some('\n')) {},
                Some(_) => break,
            }
        }
        let position = self.position();
        let token = match self.text.peek().copied() {
            Some(';') => Token::Semicolon,
            Some('{') => Token::BlockStart,
            Some('}') => Token::BlockEnd,
            Some(quote @ ('"' | '\'')) => {
                self.take();
                return self
                    .quoted(quote)
                    .map(|word| Some((Token::Word(word), position)));
            }
            _ => return Ok(Some((Token::Word(self.word()), position))),
        };
        self.take();
        Ok(Some((token, position)))
    }

    fn quoted(&mut self, quote: char) -> Result<String, SyntaxError> {
        let start = self.position();
        let mut word = String::new();
        loop {
            match self.take() {
                None => {
                    return Err(SyntaxError {
                        position: start,
                        problem: format!("a {quote} is not closed"),
                    })
                }
                // A backslash before any other character is kept, as regular expressions need it.
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

    /// Skips a block of Lua code, whose end is found by counting braces.
    fn skip_foreign_block(&mut self) -> Result<(), SyntaxError> {
        let start = self.position();
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

    /// Parses directives up to the end of the block. `opened` is the position of its opening brace, or `None` at the
    /// top level of a file.
    fn block(
        &mut self,
        depth: usize,
        opened: Option<&SourcePosition>,
    ) -> Result<Vec<Directive>, SyntaxError> {
        if depth > MAX_NESTING_DEPTH {
            return Err(self.error(format!(
                "more than {MAX_NESTING_DEPTH} blocks within each other"
            )));
        }
        let mut directives = Vec::new();
        let mut words: Vec<String> = Vec::new();
        let mut start = self.position();
        while let Some((token, position)) = self.token()? {
            match token {
                Token::Word(word) => {
                    if words.is_empty() {
                        start = position;
                    }
                    words.push(word);
                }
                Token::BlockEnd => {
                    return match (words.first(), opened) {
                        (Some(word), _) => Err(unterminated(word, position)),
                        (None, Some(_)) => Ok(directives),
                        (None, None) => Err(SyntaxError {
                            position,
                            problem: "a } closes nothing".to_string(),
                        }),
                    };
                }
                Token::Semicolon | Token::BlockStart if words.is_empty() => {
                    let problem = "a directive without a name".to_string();
                    return Err(SyntaxError { position, problem });
                }
                Token::Semicolon => {
                    directives.push(directive(std::mem::take(&mut words), None, start.clone()));
                }
                Token::BlockStart => {
                    let words = std::mem::take(&mut words);
                    let block = self.inner_block(&words[0], depth, &position)?;
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

    /// Parses the block of a directive, after its opening brace.
    fn inner_block(
        &mut self,
        name: &str,
        depth: usize,
        opened: &SourcePosition,
    ) -> Result<Vec<Directive>, SyntaxError> {
        if name.ends_with(FOREIGN_BLOCK_SUFFIX) {
            self.skip_foreign_block()?;
            return Ok(Vec::new());
        }
        self.block(depth + 1, Some(opened))
    }
}

fn unclosed_block(position: SourcePosition) -> SyntaxError {
    let problem = "a block is not closed".to_string();
    SyntaxError { position, problem }
}

fn unterminated(word: &str, position: SourcePosition) -> SyntaxError {
    let problem = format!("`{word}` has no ; at its end");
    SyntaxError { position, problem }
}

/// Builds a directive from its words, of which there is at least one.
fn directive(
    mut words: Vec<String>,
    block: Option<Vec<Directive>>,
    position: SourcePosition,
) -> Directive {
    let name = words.remove(0);
    Directive {
        name,
        arguments: words,
        block,
        position,
    }
}

/// Parses the text of a file.
pub fn parse(text: &str, file: &Path) -> Result<Vec<Directive>, SyntaxError> {
    let mut parser = Parser {
        text: text.chars().peekable(),
        file: Arc::new(file.to_path_buf()),
        line: 1,
    };
    parser.block(0, None)
}
