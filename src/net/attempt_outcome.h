// What the end of an attempt proves: the one place where an answer or a broken connection becomes a result
// for the decision module.
#pragma once

#include "src/balance/balancer.h"
#include "src/http/message.h"

namespace firtide::net
{

// A 503 that does not say that it was declined may have run.
AttemptResult result_of(const Response& response);
// Nothing ran before the last byte was written.
AttemptResult result_of(ConnectionError error);

}  // namespace firtide::net
