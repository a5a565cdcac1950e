use std::{
    collections::{BTreeMap, HashSet},
    fs,
    path::Path,
};

use banyanwharf::telemetry::{self, SpanRecord};

use crate::{
    error::{Error, Result},
    output::{NEGATIVE, Output},
};

/// Prints the spans of a trace file as one tree for each trace. The answer is negative if there is
/// none.
///
/// The spans of one trace may be in the files of several daemons. The concatenated files give
/// complete trees.
pub(crate) fn run(path: &Path, id: Option<&str>, json: bool) -> Result<Output> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    let mut records = telemetry::parse_trace_file(&text)
        .map_err(|source| Error::Trace { path: path.to_owned(), source })?;
    records.retain(|record| record.trace_id.starts_with(id.unwrap_or_default()));
    records.sort_by(|a, b| a.start_us.cmp(&b.start_us).then(a.span_id.cmp(&b.span_id)));
    let output = Output::new(json, &records, || trees(&records))?;
    Ok(if records.is_empty() { output.with_exit_code(NEGATIVE) } else { output })
}

fn trees(records: &[SpanRecord]) -> String {
    let mut traces: BTreeMap<&str, Vec<&SpanRecord>> = BTreeMap::new();
    for record in records {
        traces.entry(&record.trace_id).or_default().push(record);
    }
    let tree = |(id, spans): (&str, Vec<&SpanRecord>)| Tree::new(&spans).text(id);
    let trees: Vec<_> = traces.into_iter().map(tree).collect();
    match trees.as_slice() {
        [] => "no spans\n".to_owned(),
        trees => trees.join("\n"),
    }
}

struct Tree<'a> {
    spans: &'a [&'a SpanRecord],
    children: BTreeMap<&'a str, Vec<&'a SpanRecord>>,
    start_us: u64,
}

impl<'a> Tree<'a> {
    fn new(spans: &'a [&'a SpanRecord]) -> Tree<'a> {
        let mut children: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for span in spans {
            if let Some(parent) = &span.parent_span_id {
                children.entry(&**parent).or_default().push(*span);
            }
        }
        Tree {
            spans,
            children,
            start_us: spans.iter().map(|span| span.start_us).min().unwrap_or(0),
        }
    }

    fn text(&self, id: &str) -> String {
        let ids: HashSet<&str> = self.spans.iter().map(|span| &*span.span_id).collect();
        let is_root = |span: &&&SpanRecord| {
            let parent = span.parent_span_id.as_deref();
            parent.is_none_or(|parent| !ids.contains(parent))
        };
        let mut text = format!("trace {id}, {} spans\n", self.spans.len());
        // An invalid file may contain a cycle or a repeated id; each span is printed only once.
        let mut printed = HashSet::new();
        for root in self.spans.iter().filter(is_root).chain(self.spans) {
            let mut stack = vec![(*root, 1)];
            while let Some((span, depth)) = stack.pop() {
                if !printed.insert(&span.span_id) {
                    continue;
                }
                text += &self.line(span, depth);
                let children = self.children.get(&*span.span_id).into_iter().flatten();
                stack.extend(children.rev().map(|child| (*child, depth + 1)));
            }
        }
        text
    }

    fn line(&self, span: &SpanRecord, depth: usize) -> String {
        let mut line = format!(
            "{:indent$}{} {} +{} us {} us",
            "",
            span.name,
            span.daemon,
            span.start_us - self.start_us,
            span.duration_us,
            indent = 2 * depth,
        );
        for (name, text) in &span.attributes {
            line += &format!(" {name}={text}");
        }
        line + "\n"
    }
}
