//! Identifiers. Each has its own type, so that the compiler rejects one used in place of another.

/// The address of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId {
    /// IPv4 address, most significant byte first.
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
    /// A weighted table that several proxies use.
    TableId(u16),
    /// A slice of the key space, in deployments that divide it into slices.
    SliceId(u16),
    /// A zone.
    ZoneId(u16),
    /// A failure domain within a zone.
    CellId(u16),
    /// A machine type.
    KindId(u8),
    /// An operation: the type of a request.
    OperationId(u8),
    /// Another controller.
    PeerId(u32),
    /// A version marker.
    MarkerId(u32),
    /// A timer that the balancer requested from its host.
    TimerId(u64),
);
