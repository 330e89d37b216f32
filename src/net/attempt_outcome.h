// Classifies how an attempt ended: the only place where a response or a connection error becomes a result
// for the decision module.
#pragma once

#include "src/balance/balancer.h"
#include "src/http/message.h"

namespace firtide::net
{

// A 503 that is not marked as declined may come from a request that was executed.
AttemptResult result_of(const Response& response);
// A request is not executed before its last byte is written.
AttemptResult result_of(ConnectionError error);

}  // namespace firtide::net
