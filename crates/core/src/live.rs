//! The settings that hold now, for all who read requests and lists by them.

use hillpick::settings::Site;
use std::cell::RefCell;
use std::rc::Rc;

/// The settings as they are now. What reads a request keeps what it got, so that one request meets one set of terms.
pub struct Live(RefCell<Rc<Site>>);

impl Live {
    /// Those of the start.
    pub fn new(site: Site) -> Rc<Self> {
        Rc::new(Live(RefCell::new(Rc::new(site))))
    }

    /// Those of now.
    pub fn get(&self) -> Rc<Site> {
        self.0.borrow().clone()
    }

    /// Others from now on. Whoever calls has told the node before: a request of a new class is behind that news.
    pub fn set(&self, site: Rc<Site>) {
        self.0.replace(site);
    }
}
