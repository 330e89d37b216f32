#include "attempt_outcome.h"

namespace firtide::net
{

AttemptResult result_of(const Response& response)
{
    if (response.status == 200) return AttemptResult::succeeded;
    const bool unavailable = response.status == 503 || response.status == 504;
    if (unavailable && response.declined) return AttemptResult::declined;
    // A client's bad request is not the upstream's fault, and is not sent to another one.
    if (response.status >= 400 && response.status < 500) return AttemptResult::invalid_request;
    return AttemptResult::errored;
}

AttemptResult result_of(ConnectionError error)
{
    if (error.cause == FailureCause::no_descriptor) return AttemptResult::not_sent;
    if (error.progress < AttemptProgress::written) return AttemptResult::unreachable;
    const bool is_timeout = error.cause == FailureCause::timed_out;
    return is_timeout ? AttemptResult::timed_out : AttemptResult::reset;
}

}  // namespace firtide::net
