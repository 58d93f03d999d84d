//! Macros that add the derives shared by messages, stored values and map keys.
//!
//! Both macros serialize fields and variants in kebab case.

/// Adds the derives of messages and stored values.
///
/// ```
/// snipehollow_core::data_type! {
///     /// A point in the plane.
///     pub struct Point { x: u32, y: u32 }
/// }
/// ```
#[macro_export]
macro_rules! data_type {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(rename_all = "kebab-case")]
            $item
        )*
    };
}

/// Adds the derives of small `Copy` values that can be ordered and used as map keys.
#[macro_export]
macro_rules! key_type {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(rename_all = "kebab-case")]
            $item
        )*
    };
}
