// What one client that sends at full speed costs the others.
#include <gtest/gtest.h>

#include "crowd.h"

namespace firtide
{
namespace
{

constexpr double beside_seconds = 4;
constexpr double served_share = 0.95;
constexpr double added_p99_seconds = 0.020;

struct Shape {
    const char* name;
    CrowdClient (*make_client)(size_t number);
};

std::string request(const std::string& target, size_t number)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\nReq-Id: flood-" + std::to_string(number) + "\r\n\r\n";
}

CrowdClient pipelined(size_t n)
{
    std::string bytes;
    for (size_t i = 0; i < 2000; ++i) bytes += request("/safe/x", n * 10'000 + i);
    return {bytes, false, 65536};
}
CrowdClient one_by_one(size_t n)
{
    return {"GET /safe/x HTTP/1.1\r\nConnection: close\r\nReq-Id: one-" + std::to_string(n) + "\r\n\r\n",
            false, 65536};
}
CrowdClient unsound(size_t) { return {"\x01\x02 no request\r\n\r\n", false, 65536}; }
CrowdClient new_names(size_t n) { return {request("/name-" + std::to_string(n), n), false, 65536}; }
CrowdClient new_headers(size_t n)
{
    const auto id = std::to_string(n);
    return {"GET /safe/x HTTP/1.1\r\nReq-Id: h" + id + "\r\nReq-Owner: o" + id + "\r\nX-" + id + ": " + id +
                "\r\nConnection: close\r\n\r\n",
            false, 65536};
}

const Shape shapes[] = {{"Pipelined", pipelined},
                        {"OneByOne", one_by_one},
                        {"Unsound", unsound},
                        {"NewNames", new_names},
                        {"NewHeaders", new_headers}};

class OneClient : public testing::TestWithParam<Shape>
{
  protected:
    OneClient()
        : upstream_([](TestConnection& connection) {
              while (!connection.receive_head().empty()) connection.send(http_message(status_line_ok, "r"));
          }),
          discovery_([this](TestConnection& connection) {
              serve_unchanging_list(connection, R"({"rev":2,"all":true,"targets":[{"uid":"a","endpoint":")" +
                                                    upstream_.endpoint() + R"(","state":"ready"}]})");
          })
    {
        program_path = FIRTIDE_PROGRAM;
    }
    CallResults call(uint16_t port)
    {
        return call_evenly(port, beside_seconds,
                           [this](size_t) { return request("/safe/x", 1'000'000'000 + next_call_++); });
    }

    TestServer upstream_, discovery_;
    std::atomic<size_t> next_call_{0};
};

INSTANTIATE_TEST_SUITE_P(Shapes, OneClient, testing::ValuesIn(shapes),
                         [](const auto& shape) { return shape.param.name; });

TEST_P(OneClient, AtFullSpeedCostsOthersLittleTimeAndNoMemory)
{
    BalancerProcess firtide(discovery_.endpoint(), R"(1024,"memory_mb":32)");
    const CallResults alone = call(firtide.port);
    CallResults beside;
    size_t connections = 0;
    {
        Crowd crowd(firtide.port, 1, GetParam().make_client, CrowdPace::full_speed);
        beside = call(firtide.port);
        connections = crowd.connections_made();
    }
    std::printf("%zu connections; %s, p99 %.4f s; alone %.4f s; peak %zu kB\n", connections,
                beside.text().c_str(), beside.p99_seconds(), alone.p99_seconds(),
                peak_resident_bytes(firtide.pid) / 1024);
    EXPECT_GE(beside.served_share(), served_share) << beside.text();
    EXPECT_LE(beside.p99_seconds(), alone.p99_seconds() + added_p99_seconds);
    EXPECT_LE(peak_resident_bytes(firtide.pid), size_t{32} << 20);
}

}  // namespace
}  // namespace firtide
