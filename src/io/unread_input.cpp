#include "unread_input.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <cerrno>

namespace firtide
{

bool has_unread_input(bufferevent* stream)
{
    if (evbuffer_get_length(bufferevent_get_input(stream)) > 0) return true;
    char byte = 0;
    const auto received = recv(bufferevent_getfd(stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EINTR);
}

}  // namespace firtide
