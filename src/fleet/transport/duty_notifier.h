// Tells programs beside the balancer, over HTTP, that this member holds a duty. A connection is made ahead,
// so that the gate can stand right before the bytes that leave.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "messages.h"
#include "src/balance/decode_settings.h"
#include "src/http/message.h"
#include "src/io/event.h"

namespace firtide::fleet
{

class DutyNotifier
{
  public:
    struct What {
        std::string duty, holder;
        Epoch epoch = 0;
        uint64_t number = 0;
        int64_t left_ms = 0;
    };
    // refused: by who has met a higher epoch.
    DutyNotifier(event_base* base, std::function<void(const std::string& duty, Epoch epoch)> refused);
    ~DutyNotifier();

    // Where there is no connection yet one is made, and this is not told: the next one is soon enough.
    void tell(const std::string& address, const What& what, const std::function<bool()>& gate);

  private:
    struct One;
    event_base* base_;
    std::function<void(const std::string&, Epoch)> refused_;
    std::map<std::string, One> all_;
    ServiceConfig setup_;  // of nothing; answers are read by the same reader as upstreams'
};

}  // namespace firtide::fleet
