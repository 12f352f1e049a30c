//! Routes: a method and a path, and what answers them.

use crate::reply::Reply;
use hyper::Method;
use std::pin::Pin;

/// A reply that may take a turn of the event loop.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply>>>;

/// A route without a request body.
pub struct Route {
    /// The method that it takes.
    pub method: Method,
    /// The path that it takes.
    pub path: &'static str,
    /// Makes the reply.
    pub answer: Box<dyn Fn() -> ReplyFuture>,
}

impl Route {
    /// A route whose reply is available at once.
    pub fn new(method: Method, path: &'static str, answer: impl Fn() -> Reply + 'static) -> Self {
        let answer = move || -> ReplyFuture { Box::pin(std::future::ready(answer())) };
        Route {
            method,
            path,
            answer: Box::new(answer),
        }
    }
}

/// Makes the reply to a request body.
type BodyHandler = dyn Fn(&[u8]) -> Reply;

/// A route that takes a request body, by POST.
pub struct PostRoute {
    /// The path that it takes.
    pub path: &'static str,
    /// Makes the reply.
    pub answer: Box<BodyHandler>,
}
