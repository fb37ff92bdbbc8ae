use crate::field::Field;

/// Returns the table of fields for the settings page, in Markdown.
///
/// ```
/// use celeryhaven_settings::{OperatorSettings, field::markdown_table};
/// let table = markdown_table(OperatorSettings::FIELDS);
/// assert!(table.contains("| `timeout_ms` | milliseconds | 10000 | a whole number from 100 to"));
/// ```
pub fn markdown_table(fields: &[Field]) -> String {
    let head = "| setting | unit | default | accepted | meaning |\n|---|---|---|---|---|\n";
    let rows = fields.iter().map(|field| {
        let unit = field.unit().unwrap_or("");
        let default = field.kind.default_text().unwrap_or_else(|| "none, required".into());
        let accepted = field.kind.accepted();
        format!("| `{}` | {unit} | {default} | {accepted} | {} |\n", field.name, field.meaning)
    });
    std::iter::once(head.to_owned()).chain(rows).collect()
}
