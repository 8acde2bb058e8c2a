//! One type for each kind of identifier, so that they cannot be mixed up.

/// The address of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId {
    /// IPv4 address, in the order in which it is written.
    pub address: [u8; 4],
    /// TCP port.
    pub port: u16,
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($number:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);
    )*};
}

number_id!(
    /// A proxy.
    ProxyId(u16),
    /// A weighted table that proxies share.
    TableId(u16),
    /// A slice of the key space, at sites that have slices.
    SliceId(u16),
    /// A zone.
    ZoneId(u16),
    /// A failure domain within a zone.
    CellId(u16),
    /// A machine type.
    KindId(u8),
    /// An operation that requests call.
    OperationId(u8),
    /// Another controller.
    PeerId(u32),
    /// A version marker.
    MarkerId(u32),
    /// A timer that the host was asked to set.
    TimerId(u64),
);
