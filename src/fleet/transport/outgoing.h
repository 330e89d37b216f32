// A message for another member. Parts without I/O return these; the host sends them.
#pragma once

#include "messages.h"
#include "src/fleet/ids.h"

namespace firtide::fleet
{

struct Send {
    MemberIndex to = 0;
    Message message;
};

}  // namespace firtide::fleet
