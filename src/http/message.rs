//! Requests and responses, as handlers and callers see them.

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
    /// Any other, which no endpoint serves.
    Other,
}

impl Method {
    /// The method's name in a request line.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }

    /// The method with this name.
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

/// A request that arrived in full.
#[derive(Debug)]
pub(crate) struct Request {
    /// Its method.
    pub method: Method,
    /// Its target: the path, and the query after a `?`.
    pub target: String,
    /// Its body, of any bytes.
    pub body: Vec<u8>,
}

impl Request {
    /// The path up to its query.
    pub(crate) fn path_without_query(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// A response that is to be sent or was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    /// The status code.
    pub status: u16,
    /// The body: JSON, in all responses of this program.
    pub body: Vec<u8>,
    /// Seconds for `Retry-After`.
    pub retry_after: Option<u32>,
    /// The methods for `Allow`.
    pub allow: Option<&'static str>,
}

impl Response {
    /// A response without headers of its own.
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
            allow: None,
        }
    }

    /// A response with a value as JSON; an error 500 if it can't be written as such.
    pub(crate) fn json(status: u16, value: &impl serde::Serialize) -> Self {
        serde_json::to_vec(value).map_or_else(
            |error| Self::error(500, &error.to_string()),
            |body| Self::new(status, body),
        )
    }

    /// A response whose body names what went wrong.
    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }

    /// The response to what can't be done now, with the seconds after which to retry.
    pub(crate) fn retry_later(message: &str, seconds: u32) -> Self {
        Self {
            retry_after: Some(seconds),
            ..Self::error(503, message)
        }
    }

    /// The response to a method that the path does not serve, with those that it does.
    pub(crate) fn wrong_method(allow: &'static str) -> Self {
        Self {
            allow: Some(allow),
            ..Self::error(405, "method not allowed")
        }
    }
}
