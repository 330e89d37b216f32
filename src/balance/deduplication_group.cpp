#include "deduplication_group.h"

namespace firtide
{

bool share_deduplication_group(DeduplicationScope scope, const UpstreamLocation& a, const UpstreamLocation& b)
{
    switch (scope) {
        case DeduplicationScope::all: return true;
        case DeduplicationScope::zone: return a.zone && a.zone == b.zone;
        case DeduplicationScope::pod_group: return a.pod_group && a.pod_group == b.pod_group;
    }
    return false;
}

}  // namespace firtide
