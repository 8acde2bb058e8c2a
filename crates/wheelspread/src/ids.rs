//! One type for each kind of id. They order and print, and tell nothing else.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId {
    pub address: [u8; 4],
    pub port: u16,
}

macro_rules! number_id {
    ($($name:ident($number:ty)),*) => {$(
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);
    )*};
}

number_id!(
    ProxyId(u16),
    TableId(u16),
    SliceId(u16),
    ZoneId(u16),
    CellId(u16),
    KindId(u8),
    OperationId(u8),
    PeerId(u32),
    MarkerId(u32),
    TimerId(u64)
);
