// How much memory libevent's streams take for the bytes that they hold.
#pragma once

#include <string>

struct bufferevent;

namespace firtide
{

// Bounds one read of the stream so that its bytes and libevent's header fit a buffer of 4 KiB. libevent
// rounds buffers up to a power of two: a read of 4 KiB would take 8.
void bound_read_size(bufferevent* stream);

// Sends the bytes. Many bytes stay in the string: a copy of them in a buffer of libevent's could take twice
// as much.
void write_bytes(bufferevent* stream, std::string&& bytes);

}  // namespace firtide
