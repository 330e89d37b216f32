// Whether a connection has input that its owner has not handled yet.
#pragma once

struct bufferevent;

namespace firtide
{

// True if bytes, or the end or an error of the connection, wait in the stream or in the kernel. On a
// connection without a request in flight they cannot be the response to the next one.
bool has_unread_input(bufferevent* stream);

}  // namespace firtide
