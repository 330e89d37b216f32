// Notifications of a duty's subscriber, with a peer that is scripted between the steps of the notifier.
#include "src/fleet/transport/duty_notifier.h"

#include <gtest/gtest.h>

#include "trace.h"

namespace firtide::fleet
{
namespace
{

// Guards against a second copy of a refusal that is taken for the refusal of a later notification.
TEST(DutyNotifier, TakesNoResponseThatCameBeforeTheNotification)
{
    const EventBasePtr base(event_base_new());
    std::vector<Epoch> refused;
    DutyNotifier notifier(base.get(), [&](const std::string&, Epoch epoch) { refused.push_back(epoch); });
    const TestListener listener;
    const auto run = [&] {
        for (int i = 0; i < 20; ++i) event_base_loop(base.get(), EVLOOP_NONBLOCK), sleep_ms(1);
    };
    const auto notify = [&](Epoch epoch) {
        notifier.notify(listener.endpoint(), {"report", "b1", epoch, 1, 1000}, [] { return true; });
        run();
    };
    notify(1);  // opens the connection
    auto peer = listener.accept_connection();
    const auto refusal = http_message("HTTP/1.1 409 Conflict");
    notify(1);
    ASSERT_FALSE(peer.receive_message().empty());
    peer.send(refusal);
    run();
    EXPECT_EQ(refused, std::vector<Epoch>{1});
    peer.send(refusal);  // a second copy, which the loop has not read yet
    sleep_ms(5);
    notify(2);
    EXPECT_EQ(refused, std::vector<Epoch>{1});
}

}  // namespace
}  // namespace firtide::fleet
