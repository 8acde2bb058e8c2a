//! Finds the line of a field in a YAML text, so that the error for an invalid value can name it.

/// A line with content.
#[derive(Clone, Copy)]
struct Line<'a> {
    /// Index of the line in the text, from 0.
    index: usize,
    indent: usize,
    /// The line without its indent.
    text: &'a str,
}

impl<'a> Line<'a> {
    /// `None` for blank lines, comments and document markers.
    fn parse(index: usize, raw: &'a str) -> Option<Line<'a>> {
        let text = raw.trim_start();
        let is_empty = text.is_empty() || text.starts_with('#') || text.starts_with("---");
        (!is_empty).then(|| Line {
            index,
            indent: raw.len() - text.len(),
            text,
        })
    }

    fn is_item(&self) -> bool {
        self.text.starts_with('-')
    }

    /// The key before the colon, without the dash of a list item.
    fn key(&self) -> &'a str {
        let text = self.text.trim_start_matches("- ").trim_start();
        text.split(':').next().unwrap_or_default().trim()
    }
}

/// The line (from 1) of a field with a path such as `operations.1.billed_value`. If a part of the path is missing or
/// not written in block style, the line of the last part before it.
pub fn line_of(text: &str, field: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let (mut start, mut end, mut found) = (0, lines.len(), None);
    // A unit in parentheses may follow the path.
    let parts = field
        .split([' ', '.'])
        .take_while(|part| !part.starts_with('('));
    for part in parts {
        let item_index = part.parse::<usize>().ok();
        let block = block_lines(&lines, start, end);
        let line = match item_index {
            Some(index) => block.iter().filter(|line| line.is_item()).nth(index),
            None => block
                .iter()
                .find(|line| line.key().trim_matches(['"', '\'']) == part),
        };
        let Some(line) = line else { break };
        found = Some(line.index + 1);
        let is_item = item_index.is_some();
        let next = block
            .iter()
            .find(|other| other.index > line.index && (!is_item || other.is_item()));
        end = next.map_or(end, |next| next.index);
        // The first key of a list item is on the line of the dash.
        let has_key_after_dash = is_item && line.text.len() > 1;
        start = line.index + usize::from(!has_key_after_dash);
        if has_key_after_dash {
            if let Some(index) = item_key_line(&lines, start, end, field, part) {
                return Some(index + 1);
            }
        }
    }
    found
}

/// The lines from `start` up to `end` that have the smallest indent among them.
fn block_lines<'a>(lines: &[&'a str], start: usize, end: usize) -> Vec<Line<'a>> {
    let content: Vec<Line> = (start..end)
        .filter_map(|index| Line::parse(index, lines[index]))
        .collect();
    let indent = content.iter().map(|line| line.indent).min();
    content
        .into_iter()
        .filter(|line| Some(line.indent) == indent)
        .collect()
}

/// The line of the key that follows a list index in the field's path, among the lines of that item.
fn item_key_line(
    lines: &[&str],
    start: usize,
    end: usize,
    field: &str,
    item_index: &str,
) -> Option<usize> {
    let (_, rest) = field.split_once(&format!("{item_index}."))?;
    let key = rest.split(['.', ' ']).next()?;
    (start..end).find(|index| {
        let text = lines[*index].trim_start();
        let text = text.trim_start_matches("- ").trim_start();
        text.split(':').next().unwrap_or_default().trim() == key
    })
}

#[cfg(test)]
mod tests;
