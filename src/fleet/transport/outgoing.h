// A message to another member. Components without I/O return it, and the host sends it.
#pragma once

#include "messages.h"
#include "src/fleet/ids.h"

namespace firtide::fleet
{

struct OutgoingMessage {
    MemberIndex to = 0;
    Message message;
};

}  // namespace firtide::fleet
