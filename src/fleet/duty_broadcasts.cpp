#include "duty_broadcasts.h"

namespace firtide::fleet
{

Broadcast DutyBroadcasts::next(const std::string& duty, Epoch epoch, std::string content,
                               uint64_t content_number)
{
    Broadcast broadcast{duty, epoch, ++last_numbers_[duty], content_number, 0, std::move(content)};
    if (!broadcast.content.empty()) broadcast.content_number = broadcast.number;
    (void)context_.fencing.accept(duty, epoch, broadcast.number);
    return broadcast;
}

void DutyBroadcasts::publish(const Broadcast& broadcast)
{
    Publish publish;
    for (const MemberIndex target : context_.membership.gossip_targets())
        publish.sends.push_back({target, broadcast});
    context_.emit(LeasedEffect{broadcast.duty, broadcast.epoch, {}, std::move(publish)});
}

bool DutyBroadcasts::accept(MemberIndex from, const Broadcast& broadcast)
{
    if (!context_.config.duty_of(broadcast.duty)) return false;
    if (!context_.fencing.accept(broadcast.duty, broadcast.epoch, broadcast.number)) {
        context_.fenced_effects += broadcast.epoch < context_.fencing.epoch(broadcast.duty);
        return false;
    }
    context_.gossip(broadcast, from);
    return true;
}

}  // namespace firtide::fleet
