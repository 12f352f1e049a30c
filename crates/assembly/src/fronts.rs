//! The listeners: clients' over HTTP, callers' over Thrift, operators'.

use crate::pages;
use sillward_admin::Admin;
use sillward_config::Config;
use sillward_core::{Budget, Intake};
use sillward_listener::Door;
use sillward_log::log;
use sillward_membership::Membership;
use sillward_seam::Clock;
use sillward_seam::net::TcpListener;
use sillward_thrift::FrontTerms;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Operators at once.
const ADMIN_CLIENTS: usize = 4;

/// What all fronts need.
pub struct Fronts {
    pub clock: Clock,
    pub config: Rc<Config>,
    pub intake: Intake,
    pub budget: Budget,
    pub stop: watch::Receiver<bool>,
    /// How many of the client connections are Thrift callers'.
    pub thrift_connections: usize,
}

impl Fronts {
    fn longest(&self) -> Duration {
        let classes = &self.config.site.settings.classes;
        classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Waits until the node is told to stop; its teller's end tells so too.
    fn told_to_stop(&self) -> impl Future<Output = ()> + use<> {
        let mut stop = self.stop.clone();
        async move {
            let _ = stop.wait_for(|stopped| *stopped).await;
        }
    }

    fn said(&self, listener: &TcpListener, whom: &str) -> Result<(), String> {
        let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
        log(format_args!("{} listens for {whom} on {address}", self.config.name));
        Ok(())
    }

    pub async fn http(&self, listener: TcpListener, ready: Rc<Cell<bool>>) -> Result<(), String> {
        let door = Door::new(self.config.client_connections - self.thrift_connections, self.longest());
        let (intake, site) = (self.intake.clone(), self.config.site.clone());
        let front = sillward_http1::Front::new(intake, site, door.clone(), self.budget.clone(), ready);
        door.run(front, listener, self.told_to_stop()).await;
        Ok(())
    }

    pub async fn thrift(&self, terms: Option<FrontTerms>) -> Result<(), String> {
        let Some(terms) = terms else { return Ok(()) };
        let listener = bind(terms.listen).await?;
        self.said(&listener, "Thrift")?;
        let door = Door::new(self.thrift_connections, self.longest());
        let (intake, site, seed) = (self.intake.clone(), self.config.site.clone(), self.config.seed);
        let front = sillward_thrift::Front::new(intake, site, terms, door.clone(), self.budget.clone(), seed);
        door.run(front.clone(), listener, self.told_to_stop()).await;
        log(format_args!("{} oneway calls were taken", front.oneway_calls()));
        Ok(())
    }

    pub async fn admin(
        &self,
        address: Option<SocketAddr>,
        sources: Option<Rc<RefCell<Membership>>>,
    ) -> Result<(), String> {
        let Some(address) = address else { return Ok(()) };
        let listener = bind(address).await?;
        self.said(&listener, "operators")?;
        let door = Door::new(ADMIN_CLIENTS, Duration::from_secs(1));
        let clock = self.clock;
        let page = |text: fn(Clock, &Rc<RefCell<Membership>>) -> String| -> sillward_admin::Page {
            let sources = sources.clone();
            Box::new(move || sources.as_ref().map_or_else(|| "{}".to_owned(), |m| text(clock, m)))
        };
        let pages = vec![
            ("/admin/membership", page(pages::membership)),
            ("/admin/membership/sources", page(pages::sources)),
        ];
        let front = Admin::new(door.clone(), pages);
        door.run(front, listener, self.told_to_stop()).await;
        Ok(())
    }
}

/// Listens, or says in words why not.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
}
