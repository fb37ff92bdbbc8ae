/// Defines the settings of a process: the struct, its list of fields and its parser.
///
/// The one-line doc comment of a field is also its meaning on the settings page.
macro_rules! settings {
    (
        $(#[$meta:meta])*
        pub struct $name:ident checked by $check:path {
            $(#[doc = $meaning:literal] $field:ident: $type:ty = $kind:expr;)*
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $(#[doc = $meaning] pub $field: $type,)*
        }

        impl $name {
            /// All fields, in the order of the settings page.
            pub const FIELDS: &'static [$crate::field::Field] = &[$(
                $crate::field::Field {
                    name: stringify!($field),
                    kind: $kind,
                    meaning: $meaning.trim_ascii(),
                },
            )*];

            /// Reads and validates a settings file.
            pub fn load(file: &str) -> Result<Self, $crate::error::SettingsError> {
                Self::from_document(&$crate::yaml::Document::load(file)?)
            }

            /// Parses and validates the text of a settings file; `file` is used in errors.
            pub fn from_yaml(file: &str, text: &str) -> Result<Self, $crate::error::SettingsError> {
                Self::from_document(&$crate::yaml::Document::parse(file, text)?)
            }

            fn from_document(
                document: &$crate::yaml::Document,
            ) -> Result<Self, $crate::error::SettingsError> {
                $crate::field::reject_unknown_fields(document, Self::FIELDS)?;
                let mut fields = Self::FIELDS.iter();
                let mut next = || fields.next().ok_or_else(|| missing_field_error(document));
                let settings = Self {
                    $($field: $crate::field::read_field(document, next()?)?,)*
                };
                $check(&settings, document)?;
                Ok(settings)
            }
        }

        fn missing_field_error(document: &$crate::yaml::Document) -> $crate::error::SettingsError {
            document.value_error("", "the fields of the settings page")
        }
    };
}

pub(crate) use settings;
