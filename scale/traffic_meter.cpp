#include "traffic_meter.h"

namespace firtide::scale
{

fleet::TrafficCounts sum(const fleet::TrafficCounts& a, const fleet::TrafficCounts& b)
{
    fleet::TrafficCounts out;
    out.messages_in = a.messages_in + b.messages_in;
    out.messages_out = a.messages_out + b.messages_out;
    out.bytes_in = a.bytes_in + b.bytes_in;
    out.bytes_out = a.bytes_out + b.bytes_out;
    out.dropped = a.dropped + b.dropped;
    return out;
}

fleet::TrafficCounts difference(const fleet::TrafficCounts& later, const fleet::TrafficCounts& earlier)
{
    fleet::TrafficCounts out;
    out.messages_in = later.messages_in - earlier.messages_in;
    out.messages_out = later.messages_out - earlier.messages_out;
    out.bytes_in = later.bytes_in - earlier.bytes_in;
    out.bytes_out = later.bytes_out - earlier.bytes_out;
    out.dropped = later.dropped - earlier.dropped;
    return out;
}

}  // namespace firtide::scale
