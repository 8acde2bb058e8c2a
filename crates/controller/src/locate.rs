//! On which line of a YAML text a field stands, so that a value that can't be is named with its place.

/// The line (from 1) of a field given as `operations.1.billed_value`; where a part of the way is not
/// written in block style, the line of the last part that is.
pub fn line_of(text: &str, field: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let (mut from, mut to, mut found) = (0, lines.len(), None);
    for part in field
        .split([' ', '.'])
        .take_while(|part| !part.starts_with('('))
    {
        let block: Vec<(usize, usize, &str)> =
            (from..to).filter_map(|at| content(lines[at], at)).collect();
        let Some(indent) = block.iter().map(|(_, indent, _)| *indent).min() else {
            break;
        };
        let starts = |line: &&(usize, usize, &str)| line.1 == indent;
        let place = match part.parse::<usize>() {
            Ok(index) => block
                .iter()
                .filter(starts)
                .filter(|line| line.2.starts_with('-'))
                .nth(index),
            Err(_) => block.iter().filter(starts).find(|line| {
                let key = line.2.trim_start_matches("- ").trim_start();
                key.split(':')
                    .next()
                    .is_some_and(|key| key.trim().trim_matches(['"', '\'']) == part)
            }),
        };
        let Some((at, _, line)) = place else { break };
        found = Some(*at + 1);
        let item = part.parse::<usize>().is_ok();
        let next = block
            .iter()
            .filter(starts)
            .find(|other| other.0 > *at && (!item || other.2.starts_with('-')));
        to = next.map_or(to, |next| next.0);
        // An item's first key stands on the line of its dash; its keys are two further in.
        from = if item && line.len() > 1 { *at } else { *at + 1 };
        if item && line.len() > 1 {
            let rest: Vec<usize> = (from..to).collect();
            let key = part_after_dash(&lines, &rest, field, part);
            if let Some(at) = key {
                return Some(at + 1);
            }
        }
    }
    found
}

/// Keys of a list's item, the first of which follows the dash.
fn part_after_dash(lines: &[&str], rest: &[usize], field: &str, index: &str) -> Option<usize> {
    let (_, after) = field.split_once(&format!("{index}."))?;
    let key = after.split(['.', ' ']).next()?;
    rest.iter().copied().find(|at| {
        let line = lines[*at]
            .trim_start()
            .trim_start_matches("- ")
            .trim_start();
        line.split(':')
            .next()
            .is_some_and(|found| found.trim() == key)
    })
}

fn content(line: &str, at: usize) -> Option<(usize, usize, &str)> {
    let plain = line.trim_start();
    let empty = plain.is_empty() || plain.starts_with('#') || plain.starts_with("---");
    (!empty).then(|| (at, line.len() - plain.len(), plain))
}

#[cfg(test)]
mod tests;
