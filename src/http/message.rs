//! HTTP requests and responses as request handlers and clients use them.

/// The method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `DELETE`
    Delete,
    /// Any other method; no endpoint serves it.
    Other,
}

impl Method {
    /// Returns the method's name as it stands in a request line.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }

    /// Returns the method with this name, or `Other`.
    pub(super) fn parse(text: &str) -> Self {
        match text {
            "GET" => Self::Get,
            "POST" => Self::Post,
            "PUT" => Self::Put,
            "DELETE" => Self::Delete,
            _ => Self::Other,
        }
    }
}

/// A completely received request.
#[derive(Debug)]
pub(crate) struct Request {
    /// The request method.
    pub method: Method,
    /// The request target: the path and, after a `?`, the query.
    pub target: String,
    /// The body. Its content is not validated.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub(crate) fn path_without_query(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// A response to be sent, or one that was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    /// The status code.
    pub status: u16,
    /// The body. All responses of this program have JSON bodies.
    pub body: Vec<u8>,
    /// The value of the `Retry-After` header to be sent, in seconds; `None` in responses that the
    /// client has received.
    pub retry_after: Option<u32>,
    /// The value of the `Allow` header to be sent; `None` in responses that the client has received.
    pub allow: Option<&'static str>,
}

impl Response {
    /// Creates a response without `Retry-After` and `Allow` headers.
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
            allow: None,
        }
    }

    /// Creates a response with a value serialized as JSON, or an error response of status 500 if
    /// the value can't be serialized.
    pub(crate) fn json(status: u16, value: &impl serde::Serialize) -> Self {
        serde_json::to_vec(value).map_or_else(
            |error| Self::error(500, &error.to_string()),
            |body| Self::new(status, body),
        )
    }

    /// Creates a response whose body contains an error message.
    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }

    /// Creates a response of status 503 that asks the client to retry after a number of seconds.
    pub(crate) fn retry_later(message: &str, seconds: u32) -> Self {
        Self {
            retry_after: Some(seconds),
            ..Self::error(503, message)
        }
    }

    /// Creates a response of status 405 that lists the methods that the path supports.
    pub(crate) fn wrong_method(allow: &'static str) -> Self {
        Self {
            allow: Some(allow),
            ..Self::error(405, "method not allowed")
        }
    }
}
