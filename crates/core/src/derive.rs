//! Common sets of derives.

/// Adds the derives that every message and stored value shares.
///
/// ```
/// snipehollow_core::data_type! {
///     /// A point in a plan.
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

/// Adds the derives of a small copyable value that also serves as a map key.
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
