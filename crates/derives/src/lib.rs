//! Common derive sets as small macros.
//!
//! - [`data!`]: a struct or enum that crosses a process boundary.
//! - [`state!`]: a struct or enum that stays inside one process.
//! - [`name!`]: a shared string newtype for names.
//! - [`number!`]: a `Copy` newtype of a number.
//!
//! The calling crate needs `serde` among its dependencies for all but [`state!`].

/// Derives the traits of types that cross a process boundary.
///
/// Each item gets `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`. Further derives
/// and container attributes stay on the item itself.
///
/// ```
/// celeryhaven_derives::data! {
///     /// A point on a map.
///     #[derive(Copy)]
///     #[serde(deny_unknown_fields)]
///     pub struct Point {
///         /// Distance east, in metres.
///         pub east_m: u32,
///     }
/// }
/// assert_eq!(Point { east_m: 3 }.clone(), Point { east_m: 3 });
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the traits of types that stay inside one process: `Clone`, `Debug`, `PartialEq`.
///
/// ```
/// celeryhaven_derives::state! {
///     /// An entry in a queue.
///     pub struct Waiting {
///         /// Time of arrival.
///         pub since_ms: u64,
///     }
/// }
/// assert_eq!(Waiting { since_ms: 1 }.since_ms, 1);
/// ```
#[macro_export]
macro_rules! state {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}

/// Defines a newtype of a shared string, for names; cloning is cheap.
///
/// ```
/// celeryhaven_derives::name! {
///     /// Names a ship.
///     ShipName
/// }
/// assert_eq!(ShipName::new("Rūta").as_str(), "Rūta");
/// ```
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $name:ident)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize,
                ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// Creates a name from its text.
                pub fn new(name: impl Into<::std::sync::Arc<str>>) -> Self {
                    Self(name.into())
                }

                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

/// Defines a `Copy` newtype of a number.
///
/// ```
/// celeryhaven_derives::number! {
///     /// Counts laps.
///     Lap(u32)
/// }
/// assert!(Lap::new(1) < Lap::new(2));
/// assert_eq!(Lap::new(1).next(), Lap::new(2));
/// ```
#[macro_export]
macro_rules! number {
    ($($(#[$meta:meta])* $name:ident($inner:ty))*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name($inner);

            impl $name {
                /// Creates a value from a number.
                pub const fn new(value: $inner) -> Self {
                    Self(value)
                }

                /// Returns the number.
                pub const fn get(self) -> $inner {
                    self.0
                }

                /// Returns the next value, saturating at the maximum.
                pub const fn next(self) -> Self {
                    Self(self.0.saturating_add(1))
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    write!(f, "{}", self.0)
                }
            }
        )*
    };
}
