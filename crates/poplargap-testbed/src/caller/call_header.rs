//! Names of the headers between callers and daemons.

/// Name of the chat.
pub(super) const CHAT_ID: &str = "x-chat-id";

/// Class of work.
pub(super) const CLASS: &str = "poplargap-class";

/// Time that the caller is ready to wait, in milliseconds.
pub(super) const DEADLINE: &str = "x-deadline-ms";

/// Key that makes repeated sends of one call recognisable.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Name of the request.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Routing hint of a chat, from its last answer.
pub(super) const ROUTE: &str = "poplargap-route";
