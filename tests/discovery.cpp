// Requests for the list of upstreams after a failed one, on loopback: for the missed changes where lists
// are polled, and for the full list where they are pushed.
#include <gtest/gtest.h>

#include <mutex>
#include <vector>

#include "trace.h"

namespace firtide
{
namespace
{

// A discovery server that answers the first request with the full list, refuses the next requests, and
// answers those after them with a list of changes.
class RefusingDiscovery
{
  public:
    explicit RefusingDiscovery(int refusals)
        : refusals_(refusals), server_([this](TestConnection& connection) { serve(connection); })
    {
    }

    std::string endpoint() const { return server_.endpoint(); }
    std::vector<std::string> targets()
    {
        const std::lock_guard lock(mutex_);
        return targets_;
    }

  private:
    void serve(TestConnection& connection)
    {
        for (std::string request;
             connection.is_open() && !(request = connection.receive_message()).empty();) {
            size_t request_number = 0;
            {
                const std::lock_guard lock(mutex_);
                const auto begin = request.find(' ') + 1;
                targets_.push_back(request.substr(begin, request.find(' ', begin) - begin));
                request_number = targets_.size();
            }
            if (request_number == 1)
                connection.send(http_message(status_line_ok, R"({"rev":7,"all":true,"targets":[]})"));
            else if (request_number <= 1 + static_cast<size_t>(refusals_))
                connection.send(http_message("HTTP/1.1 503 busy"));
            else
                connection.send(http_message(status_line_ok, R"({"rev":7,"all":false,"targets":[]})"));
        }
    }

    const int refusals_;
    std::mutex mutex_;
    std::vector<std::string> targets_;
    TestServer server_;
};

std::vector<std::string> requests_to(RefusingDiscovery& discovery, size_t count, const std::string& settings)
{
    program_path = FIRTIDE_PROGRAM;
    BalancerProcess firtide(discovery.endpoint(), "1024", "", {}, 0, settings);
    EXPECT_TRUE(wait_until([&] { return discovery.targets().size() >= count; }, 20000));
    auto targets = discovery.targets();
    targets.resize(std::min(targets.size(), count));
    return targets;
}

TEST(DiscoveryCalls, AskedForAreResumedAtTheLastVersionAfterRefusals)
{
    RefusingDiscovery discovery(2);
    EXPECT_EQ(
        requests_to(discovery, 5, R"("registry_mode":"subscribe",)"),
        (std::vector<std::string>{"/api/targets", "/api/targets?after=7&wait_ms=2000",
                                  // After a refusal: a short watch for the missed changes.
                                  "/api/targets?after=7&wait_ms=500", "/api/targets?after=7&wait_ms=500",
                                  // After a response: the normal watch again.
                                  "/api/targets?after=7&wait_ms=2000"}));
}

TEST(DiscoveryCalls, PushedBeginAnewWithTheWholeListAfterARefusal)
{
    RefusingDiscovery discovery(1);
    EXPECT_EQ(
        requests_to(discovery, 3, ""),
        (std::vector<std::string>{"/api/targets", "/api/targets?after=7&wait_ms=2000", "/api/targets"}));
}

}  // namespace
}  // namespace firtide
