//! Streams with clients that miss or reject responses, send wrong nonces, and reconnect, under a scripted clock.

mod acknowledgement;
mod consistency;
mod rejection;
mod subscription;
mod support;
