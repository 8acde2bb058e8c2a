//! Streams with clients that miss, reject, lie and come back, under a scripted clock.

mod acknowledgement;
mod consistency;
mod rejection;
mod subscription;
mod support;
