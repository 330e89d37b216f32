// The server for operators, with the results of commands that are scripted between its steps.
#include "src/net/admin_server.h"

#include <gtest/gtest.h>

#include "trace.h"

namespace firtide::net
{
namespace
{

// Guards against the result of a command that the program gave itself reaching an operator that has connected
// and not sent a line yet.
TEST(AdminServer, GivesNoResultToAConnectionThatHasSentNoCommand)
{
    const EventBasePtr base(event_base_new());
    event_base_priority_init(base.get(), 2);
    std::vector<AdminCommandReceived> received;
    const uint16_t port = free_port();
    AdminServer server(base.get(), {"127.0.0.1", port},
                       [&](Event event) { received.push_back(std::get<AdminCommandReceived>(event)); });
    const auto run = [&] {
        for (int i = 0; i < 20; ++i) event_base_loop(base.get(), EVLOOP_NONBLOCK), sleep_ms(1);
    };
    TestConnection operator_connection(port);
    run();
    server.answer({no_admin_connection, true, ServingState::draining, {}});
    operator_connection.send("ready\n");
    run();
    ASSERT_EQ(received.size(), 1u);
    server.answer({received[0].connection, true, ServingState::ready, {}});
    EXPECT_EQ(operator_connection.receive_all(), "SUCCESS ready\n");
}

}  // namespace
}  // namespace firtide::net
