use std::fmt;

use chrono::{SecondsFormat, Utc};
use log::{
    Record,
    kv::{self, VisitSource},
};
use log4rs::encode::{Encode, Write};
use serde::{Serialize, Serializer, ser::SerializeMap as _};

/// A log4rs encoder that writes each record as one line of JSON: time, level, message and the
/// record's attributes.
///
/// The encoder of log4rs writes source position and thread as well, which are several times longer
/// than the rest of most lines.
#[derive(Debug)]
pub(super) struct JsonEncoder;

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'static str,
    message: &'a fmt::Arguments<'a>,
    #[serde(skip_serializing_if = "Attributes::is_empty")]
    attributes: Attributes<'a>,
}

/// The key-value pairs of a record, with all values as text.
struct Attributes<'a>(&'a dyn kv::Source);

impl Attributes<'_> {
    fn is_empty(&self) -> bool {
        self.0.count() == 0
    }
}

impl Serialize for Attributes<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut pairs = Pairs(Vec::new());
        self.0.visit(&mut pairs).map_err(serde::ser::Error::custom)?;
        let mut map = serializer.serialize_map(Some(pairs.0.len()))?;
        for (key, value) in &pairs.0 {
            map.serialize_entry(key.as_str(), &format_args!("{value}"))?;
        }
        map.end()
    }
}

/// Collects key-value pairs in the order of the record.
struct Pairs<'kvs>(Vec<(kv::Key<'kvs>, kv::Value<'kvs>)>);

impl<'kvs> VisitSource<'kvs> for Pairs<'kvs> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.push((key, value));
        Ok(())
    }
}

impl Encode for JsonEncoder {
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let line = Line {
            time: Utc::now().to_rfc3339_opts(SecondsFormat::Millis, true),
            level: record.level().as_str(),
            message: record.args(),
            attributes: Attributes(record.key_values()),
        };
        serde_json::to_writer(&mut *writer, &line)?;
        writer.write_all(b"\n")?;
        Ok(())
    }
}
