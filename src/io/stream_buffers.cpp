#include "stream_buffers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <memory>
#include <new>
#include <utility>

namespace firtide
{
namespace
{

constexpr size_t read_buffer_bytes = 4 * 1024;
constexpr size_t buffer_header_bytes = 64;  // libevent's, rounded up
constexpr size_t min_moved_bytes =
    4 * 1024;  // fewer are copied: that is faster than an allocation for their owner

}  // namespace

void bound_read_size(bufferevent* stream)
{
    bufferevent_set_max_single_read(stream, read_buffer_bytes - buffer_header_bytes);
}

void write_bytes(bufferevent* stream, std::string&& bytes)
{
    if (bytes.size() < min_moved_bytes) {
        bufferevent_write(stream, bytes.data(), bytes.size());
        return;
    }
    auto owned = std::make_unique<std::string>(std::move(bytes));
    const auto free_owned = [](const void*, size_t, void* owner) {
        const std::unique_ptr<std::string> freed(static_cast<std::string*>(owner));
    };
    if (evbuffer_add_reference(bufferevent_get_output(stream), owned->data(), owned->size(), free_owned,
                               owned.get()) != 0)
        throw std::bad_alloc();
    (void)owned.release();
}

}  // namespace firtide
