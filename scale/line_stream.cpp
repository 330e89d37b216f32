#include "line_stream.h"

#include <event2/buffer.h>

#include <cstdlib>

namespace firtide::scale
{

LineStream::LineStream(event_base* base, int descriptor, std::function<void(std::string_view)> line,
                       std::function<void()> ended)
    : on_line_(std::move(line)), on_closed_(std::move(ended))
{
    evutil_make_socket_nonblocking(descriptor);
    stream_.reset(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<LineStream*>(self)->read_lines(); },
        nullptr,
        [](bufferevent*, short what, void* self) {
            const auto* stream = static_cast<LineStream*>(self);
            if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR) && stream->on_closed_) stream->on_closed_();
        },
        this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void LineStream::write(const std::string& line)
{
    bufferevent_write(stream_.get(), line.data(), line.size());
    bufferevent_write(stream_.get(), "\n", 1);
}

void LineStream::read_lines()
{
    size_t length = 0;
    while (char* line = evbuffer_readln(bufferevent_get_input(stream_.get()), &length, EVBUFFER_EOL_LF)) {
        on_line_({line, length});
        std::free(line);
    }
}

}  // namespace firtide::scale
