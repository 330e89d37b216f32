// Tells programs beside the balancer, over HTTP, that this member holds a duty. A connection is made ahead,
// so that the gate can stand right before the bytes that leave.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "src/balance/decode_settings.h"
#include "src/fleet/ids.h"
#include "src/http/message.h"
#include "src/io/event.h"

namespace firtide::fleet
{

// One notification: the duty, who holds it at which epoch, and for how long yet. Sent as the headers Duty-*.
struct DutyNotification {
    std::string duty, holder;
    Epoch epoch = 0;
    uint64_t number = 0;  // grows within the epoch
    int64_t left_ms = 0;
};

class DutyNotifier
{
  public:
    // `on_refused` is called for a subscriber that has seen a higher epoch.
    DutyNotifier(event_base* base, std::function<void(const std::string& duty, Epoch epoch)> on_refused);
    ~DutyNotifier();
    DutyNotifier(const DutyNotifier&) = delete;
    DutyNotifier& operator=(const DutyNotifier&) = delete;

    // `authorize` is asked right before the bytes leave. Where there is no connection yet one is made, and
    // this notification is dropped: the next one is soon enough.
    void notify(const std::string& address, const DutyNotification& notification,
                const std::function<bool()>& authorize);

  private:
    struct Subscriber;

    event_base* base_;
    std::function<void(const std::string&, Epoch)> on_refused_;
    std::map<std::string, Subscriber> subscribers_;  // by address and duty: none waits for another's answer
    ServiceConfig response_config_;  // empty: answers are read by the same reader as upstreams'
};

}  // namespace firtide::fleet
