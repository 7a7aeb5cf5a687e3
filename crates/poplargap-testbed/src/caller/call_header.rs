//! Names of the HTTP headers that callers and daemons exchange.

/// Identifier of the chat.
pub(super) const CHAT_ID: &str = "x-chat-id";

/// Name of the class to which the request belongs.
pub(super) const CLASS: &str = "poplargap-class";

/// Time in which the caller needs the answer, in milliseconds.
pub(super) const DEADLINE: &str = "x-deadline-ms";

/// Key by which repeated sends of one call are recognised.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Identifier of the request, returned with its answer.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Routing hint of a chat, returned with each answer and sent with the next request.
pub(super) const ROUTE: &str = "poplargap-route";
