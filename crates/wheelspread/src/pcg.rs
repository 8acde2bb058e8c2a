//! A permuted congruential generator (PCG-XSH-RR 64/32) with an explicit seed.

/// The state of one generator. Equal seeds give equal sequences.
#[derive(Clone, Debug)]
pub struct Pcg(u64);

const MULTIPLIER: u64 = 6364136223846793005;
const INCREMENT: u64 = 1442695040888963407;

impl Pcg {
    /// A generator that starts from `seed`.
    pub fn new(seed: u64) -> Pcg {
        let mut pcg = Pcg(seed.wrapping_add(INCREMENT));
        pcg.draw();
        pcg
    }

    /// The next 32 random bits.
    pub fn draw(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A random number, uniformly distributed in [0, 1).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.draw()) / 4294967296.0
    }
}
