// Notifies external programs over HTTP that this member holds a duty. Connections are opened in advance, so
// that the lease can be checked right before the bytes are sent.
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

// The duty, its holder and epoch, and the remaining time of the lease. Sent as the headers Duty-*.
struct DutyNotification {
    std::string duty, holder;
    Epoch epoch = 0;
    uint64_t number = 0;  // increases within the epoch
    int64_t left_ms = 0;
};

class DutyNotifier
{
  public:
    // `on_refused` is called when a subscriber reports that it has seen a higher epoch.
    DutyNotifier(event_base* base, std::function<void(const std::string& duty, Epoch epoch)> on_refused);
    ~DutyNotifier();
    DutyNotifier(const DutyNotifier&) = delete;
    DutyNotifier& operator=(const DutyNotifier&) = delete;

    // `authorize` is called right before the bytes are sent. Without a connection, one is opened and this
    // notification is dropped: the next one follows soon.
    void notify(const std::string& address, const DutyNotification& notification,
                const std::function<bool()>& authorize);

  private:
    struct Subscriber;

    event_base* base_;
    std::function<void(const std::string&, Epoch)> on_refused_;
    // By address and duty, so that none waits for another's response.
    std::map<std::string, Subscriber> subscribers_;
    // Empty. Required by ResponseReader, which also reads the responses of upstreams.
    ServiceConfig response_config_;
};

}  // namespace firtide::fleet
