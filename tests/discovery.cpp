// Calls for the list of upstreams after a call that failed, on loopback: what was missed where lists are
// asked for, and the whole list where they are pushed.
#include <gtest/gtest.h>

#include <mutex>
#include <vector>

#include "trace.h"

namespace firtide
{
namespace
{

// A stand-in of discovery that answers the call for the whole list, turns the next calls away, and then
// answers each call with its next list.
class RefusingDiscovery
{
  public:
    explicit RefusingDiscovery(int refusals)
        : refusals_(refusals), stand_in_([this](TestConnection& wire) { serve(wire); })
    {
    }

    std::string endpoint() const { return stand_in_.endpoint(); }
    std::vector<std::string> targets()
    {
        const std::lock_guard hold(lock_);
        return targets_;
    }

  private:
    void serve(TestConnection& wire)
    {
        for (std::string request; wire.is_open() && !(request = wire.receive_message()).empty();) {
            size_t call = 0;
            {
                const std::lock_guard hold(lock_);
                const auto begin = request.find(' ') + 1;
                targets_.push_back(request.substr(begin, request.find(' ', begin) - begin));
                call = targets_.size();
            }
            if (call == 1)
                wire.send(http_message(status_line_ok, R"({"rev":7,"all":true,"targets":[]})"));
            else if (call <= 1 + static_cast<size_t>(refusals_))
                wire.send(http_message("HTTP/1.1 503 busy"));
            else
                wire.send(http_message(status_line_ok, R"({"rev":7,"all":false,"targets":[]})"));
        }
    }

    const int refusals_;
    std::mutex lock_;
    std::vector<std::string> targets_;
    TestServer stand_in_;
};

std::vector<std::string> calls_of(RefusingDiscovery& discovery, size_t count, const std::string& settings)
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
    EXPECT_EQ(calls_of(discovery, 5, R"("registry_mode":"subscribe",)"),
              (std::vector<std::string>{
                  "/api/targets", "/api/targets?after=7&wait_ms=2000",
                  // Turned away: what was missed is asked for, by a watch that is answered soon.
                  "/api/targets?after=7&wait_ms=500", "/api/targets?after=7&wait_ms=500",
                  // Answered: the watch goes on.
                  "/api/targets?after=7&wait_ms=2000"}));
}

TEST(DiscoveryCalls, PushedBeginAnewWithTheWholeListAfterARefusal)
{
    RefusingDiscovery discovery(1);
    EXPECT_EQ(
        calls_of(discovery, 3, ""),
        (std::vector<std::string>{"/api/targets", "/api/targets?after=7&wait_ms=2000", "/api/targets"}));
}

}  // namespace
}  // namespace firtide
