//! Points in time as the platform dates things: seconds since 1970, but going on evenly whatever is done to
//! the machine's time afterwards.

use wheelspread::time::Moment;
use wheelspread_reactor as reactor;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Moment,
    counted_from: Moment,
}

impl Clock {
    pub fn new() -> Clock {
        Clock {
            began: Moment::from_seconds(reactor::wall()),
            counted_from: reactor::now(),
        }
    }

    pub fn now(&self) -> Moment {
        self.began + (reactor::now() - self.counted_from)
    }
}
