// The effects of the reducer, event by event, without sockets. Each case states all effects that EffectWriter
// writes, and the statistics at its end.
#include "src/net/reducer.h"

#include <gtest/gtest.h>

#include "balancer_host.h"

namespace firtide::net
{
namespace
{

using Lines = std::vector<std::string>;

ServiceConfig service_config(Idempotency repeat)
{
    ServiceConfig config;
    config.settings = BalancerHost::make_settings(BalancerHost::make_operation(repeat));
    config.operation_names = {"op"};
    config.load_report_fields = {"q"};
    config.load_report_members = {&LoadReport::queue_length};
    return config;
}

ListedEndpoint endpoint_a(EndpointPhase phase, const char* address = "1.1.1.1:1")
{
    return {"a", address, phase, {}, 1, {}};
}

ListedEndpoint endpoint_b(EndpointPhase phase = EndpointPhase::ready)
{
    return {"b", "2.2.2.2:2", phase, {}, 1, {}};
}

std::string format_seconds(Duration span)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", span.seconds());
    return text;
}

// Writes each effect as a line.
class EffectWriter
{
  public:
    explicit EffectWriter(Lines& lines) : lines_(lines) {}

    void operator()(const SendResponse& effect)
    {
        add("respond to caller " + std::to_string(effect.caller) + ": " +
            std::to_string(effect.response.status) +
            (effect.response.forwarded_headers.empty() ? "" : ", Retry-After") +
            (effect.close_connection ? ", close the connection" : ""));
    }
    void operator()(const ConnectUpstream& effect)
    {
        add("connect to " + effect.endpoint + " for attempt " + std::to_string(effect.attempt) + " within " +
            format_seconds(effect.timeout) + " s");
    }
    void operator()(const WriteUpstream& effect)
    {
        const auto end = effect.bytes.find('\r');
        const std::string what = end == std::string::npos ? std::to_string(effect.bytes.size()) + " bytes"
                                                          : effect.bytes.substr(0, end);
        add("write " + what + (effect.request_incomplete ? ", more follows" : ""));
    }
    void operator()(const SetResponseReading& effect)
    {
        add(effect.enabled ? "resume reading the response" : "pause reading the response");
    }
    void operator()(const SetRequestReading& effect)
    {
        add(effect.enabled ? "resume reading the request" : "pause reading the request");
    }
    void operator()(const SendResponseChunk& effect)
    {
        add("relay " + std::to_string(effect.bytes.size()) + " bytes" + (effect.is_last ? ", the last" : ""));
    }
    void operator()(const AbortResponse&) { add("abort the response"); }
    void operator()(const SetAttemptTimeout& effect)
    {
        add("timeout " + format_seconds(effect.timeout) + " s");
    }
    void operator()(const AdminCommandResult& effect)
    {
        add((effect.success ? "command succeeded, " : "command failed, ") +
            std::to_string(static_cast<int>(effect.serving_state)));
    }
    void operator()(const MoveEndpointWatch& effect)
    {
        add("watch endpoints at " + effect.discovery_address);
    }
    void operator()(const CloseUpstream&) { add("close the attempt's connection"); }
    void operator()(const CancelWrite& effect)
    {
        add("cancel the write of attempt " + std::to_string(effect.attempt));
    }
    void operator()(const CloseIdle& effect)
    {
        add("close idle connections of u" + std::to_string(effect.upstream_id));
    }
    template <class Other>
    void operator()(const Other&)
    {
    }

  private:
    void add(std::string line) { lines_.push_back(std::move(line)); }

    Lines& lines_;
};

// Drives a reducer as its host does, with one upstream "a" at first.
class ReducerDriver
{
  public:
    explicit ReducerDriver(Idempotency repeat, bool probes = false, Duration client_timeout = seconds(2))
        : config_(service_config(repeat))
    {
        config_.settings.operations[0].client_timeout = client_timeout;
        config_.settings.may_probe = config_.settings.load_reports_by_probe = probes;
        start(nullptr);
    }
    // As a process that shares its request ids with others.
    ReducerDriver(Idempotency repeat, RequestIdRegistry& request_ids) : config_(service_config(repeat))
    {
        start(&request_ids);
    }

    void start(RequestIdRegistry* request_ids)
    {
        reducer = std::make_unique<Reducer>(config_, 1, "here:1", nullptr, request_ids);
        send(ServiceStarted{});
        update_list(true, {endpoint_a(EndpointPhase::ready)});
    }

    void send(Event event)
    {
        now = now + seconds(0.01);
        for (const Effect& effect : reducer->reduce(now, std::move(event))) {
            if (const auto* connect = std::get_if<ConnectUpstream>(&effect)) last_attempt = connect->attempt;
            if (const auto* timer = std::get_if<StartTimer>(&effect)) last_timer_ = timer->timer_id;
            if (!muted) std::visit(EffectWriter(lines), effect);
        }
    }
    void advance(double duration) { now = now + seconds(duration); }
    void update_list(bool is_full, std::vector<ListedEndpoint> entries)
    {
        send(EndpointListUpdated{is_full, std::move(entries)});
    }
    void receive_request(RequestId caller = 1, const char* id = nullptr, Duration time_left = seconds(2))
    {
        const std::string name = id ? id : "id" + std::to_string(caller);
        send(RequestReceived{
            caller, {"POST", "/op/x?y", name, 0, 0, time_left, {{"Req-Id", name}}, "body", config_version}});
    }
    void connect() { send(UpstreamConnected{last_attempt}); }
    void finish_write() { send(RequestWritten{last_attempt}); }
    void respond(int status, bool declined = false)
    {
        send(ResponseReceived{last_attempt, {status, declined, {}, {}, "a response"}});
    }
    void fail(AttemptProgress progress, FailureCause cause)
    {
        send(AttemptFailed{last_attempt, {progress, cause}});
    }
    void disconnect(RequestId caller) { send(DownstreamDisconnected{caller}); }
    void half_close(RequestId caller) { send(DownstreamHalfClosed{caller}); }
    void command(AdminCommand command) { send(AdminCommandReceived{++last_command_, command}); }
    void fire_timer() { send(TimerFired{last_timer_}); }
    // A request that is too large to buffer.
    void begin_large_request(RequestId caller)
    {
        Request request{"POST",  "/op/x",       "id" + std::to_string(caller), 0, 0, seconds(2), {},
                        "begun", config_version};
        request.body_incomplete = true;
        request.content_length = 300000;
        send(RequestReceived{caller, std::move(request)});
    }
    void receive_chunk(RequestId caller, size_t bytes, bool last_chunk)
    {
        send(RequestChunkReceived{caller, std::string(bytes, 'x'), last_chunk});
    }
    // A response that is too large to buffer.
    void begin_large_response(int status = 200)
    {
        Response response{status, false, {}, {}, "begun"};
        response.body_incomplete = true;
        response.content_length = 300000;
        send(ResponseReceived{last_attempt, std::move(response)});
    }
    void receive_response_chunk(size_t bytes, bool last_chunk)
    {
        send(ResponseChunkReceived{last_attempt, std::string(bytes, 'x'), last_chunk});
    }
    // New settings with another time_left_margin.
    void set_time_left_margin(Duration margin)
    {
        config_.settings.time_left_margin = margin;
        send(ConfigReloaded{"here:1", config_});
        ++config_version;
    }
    void set_idempotency(Idempotency idempotency)
    {
        config_.settings.operations[0].idempotency = idempotency;
        send(ConfigReloaded{"here:1", config_});
        ++config_version;
    }
    void note(std::string line) { lines.push_back(std::move(line)); }

    // In all cases, every received request is answered, in flight or abandoned.
    void write_statistics()
    {
        const auto statistics = reducer->statistics();
        uint64_t responses = 0;
        std::string line;
        for (const auto& [name, count] : statistics.outcomes_by_operation) {
            responses += count.success + count.busy + count.failure;
            line += name + ": " + std::to_string(count.success) + " succeeded, " +
                    std::to_string(count.busy) + " throttled, " + std::to_string(count.failure) +
                    " errored; ";
        }
        line += std::to_string(statistics.backend_calls) + " written, " +
                std::to_string(statistics.inflight) + " in flight, " +
                std::to_string(statistics.hosts_listed) + " listed, " +
                std::to_string(statistics.hosts_down) + " down";
        EXPECT_EQ(statistics.requests_received,
                  responses + statistics.inflight + statistics.requests_abandoned);
        note(line);
    }
    Lines finish()
    {
        write_statistics();
        return lines;
    }

    std::unique_ptr<Reducer> reducer;
    TimePoint now{1'000'000'000};
    AttemptId last_attempt = 0;
    bool muted = false;
    uint32_t config_version = 0;  // of the settings that requests are decoded with
    Lines lines;

  private:
    ServiceConfig config_;
    uint64_t last_timer_ = 0;
    AdminConnectionId last_command_ = 0;
};

// ---- what the end of an attempt proves ----

template <class End>
void expect_after_end(Idempotency repeat, End end, const Lines& expected)
{
    ReducerDriver driver(repeat);
    driver.receive_request();
    driver.connect();
    end(driver);
    EXPECT_EQ(driver.finish(), expected);
}

TEST(AttemptEnd, ABare503ProvesNothing)
{
    const auto end = [](ReducerDriver& driver) { driver.respond(503); };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, ADeclinedRequestNeverRan)
{
    const auto end = [](ReducerDriver& driver) { driver.respond(503, true); };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 1.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, A400RejectsTheRequestItself)
{
    const auto end = [](ReducerDriver& driver) { driver.respond(400); };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, A500MayHaveRun)
{
    const auto end = [](ReducerDriver& driver) { driver.respond(500); };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, BrokenAfterTheLastByteMayHaveRun)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, BrokenWithinTheResponseMayHaveRun)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::receiving_response, FailureCause::connection_lost);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, AnInvalidResponseMayHaveRun)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::receiving_response, FailureCause::invalid_response);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, BrokenBeforeTheLastByteNeverRan)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::partly_written, FailureCause::connection_lost);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 1.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 down"});
}

TEST(AttemptEnd, TimeUpBeforeTheLastByteNeverRan)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::partly_written, FailureCause::timed_out);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 1.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 down"});
}

TEST(AttemptEnd, TimeUpAfterTheLastByteMayHaveRun)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::written, FailureCause::timed_out);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "connect to 1.1.1.1:1 for attempt 2 within 0.98 s",
                      "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 502",
                      "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"});
}

TEST(AttemptEnd, WithoutADescriptorNothingWasSent)
{
    const auto end = [](ReducerDriver& driver) {
        driver.fail(AttemptProgress::not_connected, FailureCause::no_descriptor);
    };
    expect_after_end(Idempotency::idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 503, Retry-After",
                      "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 down"});
    expect_after_end(Idempotency::non_idempotent, end,
                     {"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                      "respond to caller 1: 503, Retry-After",
                      "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 down"});
}

TEST(Request, GetsOneResponse)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request();
    driver.connect();
    driver.respond(200);
    driver.respond(200);
    driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 1: 200",
                     "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

// ---- what changes while a connection is being made ----

TEST(Connecting, ToADrainedUpstreamWritesNothing)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.update_list(false, {endpoint_a(EndpointPhase::draining), endpoint_b()});
    driver.connect();
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0",
                     "cancel the write of attempt 1", "close the attempt's connection",
                     "connect to 2.2.2.2:2 for attempt 2 within 1.98 s", "write POST /op/x?y HTTP/1.1",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 2 listed, 1 down"}));
}

TEST(Connecting, ToAnUpstreamThatAFullListOmitsWritesNothing)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.update_list(true, {endpoint_b()});
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0",
                     "cancel the write of attempt 1", "close the attempt's connection",
                     "connect to 2.2.2.2:2 for attempt 2 within 1.98 s",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 down"}));
}

TEST(Connecting, ToAnUpstreamThatHasMovedWritesNothing)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.update_list(false, {endpoint_a(EndpointPhase::ready, "3.3.3.3:3")});
    driver.connect();
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0",
                     "cancel the write of attempt 1", "close the attempt's connection",
                     "connect to 3.3.3.3:3 for attempt 2 within 1.98 s", "write POST /op/x?y HTTP/1.1",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 down"}));
}

TEST(Connecting, ForADisconnectedClientWritesNothing)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request();
    driver.disconnect(1);
    driver.connect();
    driver.disconnect(1);
    driver.note(std::to_string(driver.reducer->in_flight()) + " in flight");
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "close the attempt's connection",
                     "0 in flight",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(Connecting, TakesLongerThanTheTimeLeft)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.advance(3);
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "close the attempt's connection",
                     "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 1 down"}));
}

TEST(Connecting, EndsForAHalfClosedClient)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request();
    driver.half_close(1);
    driver.advance(0.1);
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "close the attempt's connection",
                     "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 1 down"}));
}

TEST(Request, OfADisconnectedClientGetsNoResponse)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.connect();
    driver.disconnect(1);
    driver.respond(200);
    driver.note(std::to_string(driver.reducer->in_flight()) + " in flight");
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                     "close the attempt's connection", "0 in flight",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(Request, OfAHalfClosedClientIsNotForwardedAgain)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request();
    driver.connect();
    driver.half_close(1);
    driver.advance(0.1);
    driver.respond(503, true);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 1 written, 0 in flight, 2 listed, 0 down"}));
}

TEST(Request, IsCancelledAtAnUpstreamThatDrains)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request();
    driver.connect();
    driver.update_list(false, {endpoint_a(EndpointPhase::draining), endpoint_b(EndpointPhase::draining)});
    driver.fail(AttemptProgress::partly_written, FailureCause::write_cancelled);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 2.2.2.2:2 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                     "close idle connections of u0", "close idle connections of u1",
                     "cancel the write of attempt 1", "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 2 listed, 2 down"}));
}

TEST(Request, IsRepeatedWithinTheWindow)
{
    ReducerDriver driver(Idempotency::deduplicated);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request(1, nullptr, seconds(6));
    driver.connect();
    driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    driver.advance(0.1);
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "connect to 1.1.1.1:1 for attempt 2 within 0.98 s", "write POST /op/x?y HTTP/1.1",
                     "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 2 listed, 0 down"}));
}

TEST(Request, IsNotRepeatedOnceTheWindowIsOver)
{
    ReducerDriver driver(Idempotency::deduplicated);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request(1, nullptr, seconds(6));
    driver.connect();
    driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    driver.advance(2.5);
    driver.connect();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "connect to 1.1.1.1:1 for attempt 2 within 0.98 s", "close the attempt's connection",
                     "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 1 written, 0 in flight, 2 listed, 1 down"}));
}

TEST(Request, WithAnOpenIdIsRefused)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request(1, "x");
    driver.connect();
    driver.receive_request(2, "x");
    driver.respond(200);
    driver.receive_request(3, "x");
    driver.connect();
    driver.disconnect(3);
    driver.receive_request(4, "x");
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 2: 409, close the connection", "respond to caller 1: 200",
                     "connect to 1.1.1.1:1 for attempt 2 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "close the attempt's connection", "connect to 1.1.1.1:1 for attempt 3 within 1.00 s",
                     "op: 1 succeeded, 0 throttled, 1 errored; 1 written, 1 in flight, 1 listed, 0 down"}));
}

// The client of the first request leaves, or is answered, and its id comes again.
void expect_not_run_again(Idempotency repeat, const std::function<void(ReducerDriver&)>& end_first)
{
    ReducerDriver driver(repeat);
    driver.receive_request(1, "x");
    driver.connect();
    end_first(driver);
    driver.lines.clear();
    driver.advance(30);
    driver.receive_request(2, "x");
    EXPECT_EQ(driver.lines, (Lines{"respond to caller 2: 409, close the connection"}));
    driver.receive_request(3, "y");
    EXPECT_EQ(driver.lines.size(), 2u) << "another id is forwarded";
}

TEST(Request, WithTheIdOfOneWhoseClientLeftIsNotRunAgain)
{
    const auto leave = [](ReducerDriver& driver) { driver.disconnect(1); };
    expect_not_run_again(Idempotency::non_idempotent, leave);
    expect_not_run_again(Idempotency::deduplicated, leave);
}

TEST(Request, WithTheIdOfOneThatWasAnsweredIsNotRunAgain)
{
    for (const int status : {200, 500}) {
        const auto answer = [status](ReducerDriver& driver) { driver.respond(status); };
        expect_not_run_again(Idempotency::non_idempotent, answer);
    }
}

// Nothing was written for the first.
TEST(Request, WithTheIdOfOneThatNeverRanIsForwarded)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request(1, "x");
    driver.disconnect(1);
    driver.lines.clear();
    driver.receive_request(2, "x");
    EXPECT_EQ(driver.lines, (Lines{"connect to 1.1.1.1:1 for attempt 2 within 2.00 s"}));
}

// Two processes of one balancer that share their request ids.
struct ProcessPair {
    ProcessPair() { table->initialize(1, 7); }

    std::unique_ptr<RequestIdTable> table = std::make_unique<RequestIdTable>();
    RequestIdRegistry first_ids{*table, 1, [](RequestIdOwner) { return true; }};
    RequestIdRegistry second_ids{*table, 2, [](RequestIdOwner) { return true; }};
};

TEST(Request, WithAnIdThatIsOpenAtAnotherProcessIsRejected)
{
    for (const auto repeat : {Idempotency::idempotent, Idempotency::non_idempotent}) {
        ProcessPair pair;
        ReducerDriver first(repeat, pair.first_ids), second(repeat, pair.second_ids);
        first.receive_request(1, "x");
        second.receive_request(2, "x");
        EXPECT_EQ(
            second.finish(),
            (Lines{"respond to caller 2: 409, close the connection",
                   "op: 0 succeeded, 0 throttled, 1 errored; 0 written, 0 in flight, 1 listed, 0 down"}));
    }
}

// Guards against two processes that both accepted an id and both send it.
TEST(Request, WithAnIdThatAnotherProcessSentMeanwhileIsNotSent)
{
    for (const auto repeat : {Idempotency::deduplicated, Idempotency::non_idempotent}) {
        ProcessPair pair;
        ReducerDriver driver(repeat, pair.first_ids);
        driver.receive_request(1, "x");
        ASSERT_TRUE(pair.second_ids.record_run("x"));
        driver.lines.clear();
        driver.connect();
        EXPECT_EQ(
            driver.finish(),
            (Lines{"respond to caller 1: 409", "close the attempt's connection",
                   "op: 0 succeeded, 0 throttled, 1 errored; 0 written, 0 in flight, 1 listed, 0 down"}));
    }
}

TEST(RequestIdRegistry, HoldsTheLastIdsThatMayHaveRunInBoundedMemory)
{
    RequestIdRegistry ids(7);
    const auto id = [](size_t n) { return "id-" + std::to_string(n); };
    const auto was_used = [&](size_t n) { return ids.claim(id(n), false) == IdClaim::was_used; };
    constexpr size_t added = 10 * min_recent_ids;
    for (size_t n = 0; n < added; ++n) ASSERT_TRUE(ids.record_run(id(n))) << n;
    for (size_t n = added - min_recent_ids; n < added; ++n) ASSERT_TRUE(was_used(n)) << n;
    EXPECT_LE(ids.may_have_run_count(), 2 * min_recent_ids);
    EXPECT_FALSE(was_used(0));
    EXPECT_FALSE(was_used(added));
}

TEST(Request, WithoutAnUpstreamIsThrottled)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.update_list(true, {});
    driver.receive_request();
    EXPECT_EQ(driver.finish(),
              (Lines{"close idle connections of u0", "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 0 listed, 0 down"}));
}

// ---- responses that have begun and do not go on ----

// Reports the stall at each of these times after the response began.
void stall_response(ReducerDriver& driver, const std::vector<double>& at_seconds)
{
    driver.send(ResponseBegun{driver.last_attempt});
    double now = 0;
    for (const double at : at_seconds) {
        driver.advance(at - std::exchange(now, at));
        driver.send(ResponseStalled{driver.last_attempt});
    }
}

TEST(StalledResponse, ToANonIdempotentRequestIsAwaited)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request();
    driver.connect();
    stall_response(driver, {0.5, 1, 1.5, 1.9});
    driver.respond(200);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 2.2.2.2:2 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                     "timeout 1.98 s", "respond to caller 1: 200",
                     "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 2 listed, 0 down"}));
}

TEST(StalledResponse, ToAnIdempotentRequestIsGivenUpOnlyWhileARetryIsInTime)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request();
    driver.connect();
    stall_response(driver, {0.5});
    driver.note("after 0.5 s");
    stall_response(driver, {0.3});
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "timeout 1.98 s", "after 0.5 s", "timeout 1.46 s", "close the attempt's connection",
                     "connect to 1.1.1.1:1 for attempt 2 within 0.15 s",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 2 listed, 0 down"}));
}

TEST(StalledResponse, IsNotGivenUpWithoutAnotherForward)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.update_list(false, {endpoint_b()});
    driver.receive_request();
    driver.connect();
    driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    driver.connect();
    driver.lines.clear();
    stall_response(driver, {0.5, 0.9, 1.5, 1.8});
    EXPECT_EQ(driver.finish(),
              (Lines{"timeout 1.96 s",
                     "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 2 listed, 0 down"}));
}

// ---- the shutdown ----

void start_shutdown(ReducerDriver& driver, Duration client_timeout)
{
    driver.set_time_left_margin(seconds(0.2));
    char line[64];
    std::snprintf(line, sizeof line, "client timeout %.1f s: shutdown response time %.1f s",
                  client_timeout.seconds(), driver.reducer->shutdown_response_time().seconds());
    driver.note(line);
    driver.send(ShutdownStarted{});
    for (const double after : {0.3, 0.7, 1.9}) {
        const bool closes = driver.reducer->should_close_connections(driver.now + seconds(after));
        std::snprintf(line, sizeof line, "%.1f s after: connections are %s", after,
                      closes ? "closed" : "kept");
        driver.note(line);
    }
    driver.advance(0.5);
    driver.receive_request(1, nullptr, seconds(8));
}

TEST(Shutdown, WhereClientsWaitForHalfASecond)
{
    ReducerDriver driver(Idempotency::idempotent, false, seconds(0.5));
    start_shutdown(driver, seconds(0.5));
    EXPECT_EQ(
        driver.finish(),
        (Lines{"watch endpoints at here:1", "client timeout 0.5 s: shutdown response time 0.9 s",
               "0.3 s after: connections are kept", "0.7 s after: connections are closed",
               "1.9 s after: connections are closed", "connect to 1.1.1.1:1 for attempt 1 within 0.39 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 down"}));
}

TEST(Shutdown, WhereClientsWaitForTwoSeconds)
{
    ReducerDriver driver(Idempotency::idempotent, false, seconds(2));
    start_shutdown(driver, seconds(2));
    EXPECT_EQ(
        driver.finish(),
        (Lines{"watch endpoints at here:1", "client timeout 2.0 s: shutdown response time 2.4 s",
               "0.3 s after: connections are kept", "0.7 s after: connections are kept",
               "1.9 s after: connections are closed", "connect to 1.1.1.1:1 for attempt 1 within 1.00 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 down"}));
}

TEST(Shutdown, WhereClientsWaitForEightSeconds)
{
    ReducerDriver driver(Idempotency::idempotent, false, seconds(8));
    start_shutdown(driver, seconds(8));
    EXPECT_EQ(driver.finish(),
              (Lines{"watch endpoints at here:1", "client timeout 8.0 s: shutdown response time 3.4 s",
                     "0.3 s after: connections are kept", "0.7 s after: connections are kept",
                     "1.9 s after: connections are kept", "connect to 1.1.1.1:1 for attempt 1 within 1.00 s",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 down"}));
}

TEST(Shutdown, AnswersNewRequestsForAWhile)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request();
    driver.connect();
    driver.send(ShutdownStarted{});
    driver.respond(200);
    // Requests are served for a while, ending before the process may be killed; then each response is the
    // last on its connection.
    driver.advance(1.9);
    driver.receive_request(2);
    driver.advance(0.2);
    driver.connect();
    driver.respond(200);
    driver.note(driver.reducer->ready() ? "ready" : "not ready");
    EXPECT_EQ(
        driver.finish(),
        (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "respond to caller 1: 200", "connect to 1.1.1.1:1 for attempt 2 within 0.48 s",
               "write POST /op/x?y HTTP/1.1", "respond to caller 2: 200, close the connection", "not ready",
               "op: 2 succeeded, 0 throttled, 0 errored; 2 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(Lifecycle, DrainsTwiceResumesTwiceAndStops)
{
    ReducerDriver driver(Idempotency::idempotent);
    for (const auto command :
         {AdminCommand::ready, AdminCommand::drain, AdminCommand::drain, AdminCommand::ready,
          AdminCommand::resume, AdminCommand::resume, AdminCommand::ready, AdminCommand::drain})
        driver.command(command);
    // A reload does not end the drain.
    driver.send(ConfigReloaded{"there:1", {}});
    driver.command(AdminCommand::ready);
    driver.receive_request(1);
    driver.connect();
    driver.respond(200);
    driver.advance(0.5);
    driver.receive_request(2);
    driver.connect();
    driver.respond(200);
    driver.send(ShutdownStarted{});
    driver.command(AdminCommand::resume);
    driver.command(AdminCommand::ready);
    EXPECT_EQ(
        driver.finish(),
        (Lines{"command succeeded, 1", "command succeeded, 2", "command succeeded, 2", "command failed, 2",
               "command succeeded, 1", "command succeeded, 1", "command succeeded, 1", "command succeeded, 2",
               "watch endpoints at there:1", "command failed, 2",
               "connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "respond to caller 1: 200", "connect to 1.1.1.1:1 for attempt 2 within 1.00 s",
               "write POST /op/x?y HTTP/1.1", "respond to caller 2: 200, close the connection",
               "command failed, 3", "command failed, 3",
               "op: 2 succeeded, 0 throttled, 0 errored; 2 written, 0 in flight, 1 listed, 0 down"}));
}

// ---- probes, settings and upstream slots ----

TEST(Probes, GoToUpstreamsInUse)
{
    ReducerDriver driver(Idempotency::idempotent, true);
    driver.receive_request();
    driver.connect();
    driver.respond(200);
    driver.fire_timer();
    driver.connect();
    driver.respond(200);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 1: 200", "connect to 1.1.1.1:1 for attempt 2 within 0.25 s",
                     "write GET /-/load HTTP/1.1",
                     "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

// Guards against a member that goes on using the upstreams of the zone which it was in by the settings
// before.
TEST(NewSettings, OfAnotherOwnZoneMoveTheSubsetThere)
{
    const std::vector<std::string> zones{"a", "b"};
    ServiceConfig config = service_config(Idempotency::idempotent);
    config.zone_names = zones;
    config.settings.own_zone = zone_id("a");
    Reducer reducer(config, 1, "here:1");
    fleet::EndpointView::Config view;
    view.subset.emplace().size = 3;
    view.subset->zone_aware = true;
    view.subset->remote_size = 0;
    view.self_key = 1;
    reducer.join_fleet(view);
    TimePoint now{1};
    reducer.reduce(now, ServiceStarted{});
    reducer.reduce(now, SubsetPeersUpdated{{{1, true}, {2, true}}});
    std::vector<ListedEndpoint> list;
    for (const std::string& zone : zones)
        for (int n = 0; n < 10; ++n)
            list.push_back({zone + std::to_string(n),
                            zone + ":1",
                            EndpointPhase::ready,
                            {zone_id(zone), {}, {}},
                            1,
                            {}});
    reducer.reduce(now, EndpointListUpdated{true, list});
    const auto endpoint_of_request = [&](RequestId caller) {
        const std::string id = "id" + std::to_string(caller);
        const auto effects = reducer.reduce(
            now,
            RequestReceived{
                caller,
                {"POST", "/op/x", id, 0, 0, seconds(2), {{"Req-Id", id}}, "body", config.config_version}});
        for (const Effect& effect : effects)
            if (const auto* connect = std::get_if<ConnectUpstream>(&effect)) return connect->endpoint;
        return std::string();
    };
    EXPECT_EQ(endpoint_of_request(1), "a:1");
    ServiceConfig moved = config;
    moved.settings.own_zone = zone_id("b");
    reducer.reduce(now, ConfigReloaded{"here:1", moved});
    EXPECT_EQ(endpoint_of_request(2), "b:1");
}

// A member of a fleet whose subset holds a few of many upstreams, of which all are probed for the fleet.
class SubsetMember
{
  public:
    SubsetMember() : config_(service_config(Idempotency::idempotent))
    {
        config_.settings.load_reports_by_probe = true;
        fleet::EndpointView::Config view;
        view.subset.emplace().size = 3;
        view.self_key = 1;
        reducer_.join_fleet(view);
        reduce(ServiceStarted{});
        reduce(SubsetPeersUpdated{{{1}, {2}, {3}, {4}, {5}, {6}}});
        set_list(3);
        set_list(upstream_count);
    }

    static std::string uid_of(size_t number) { return "s-" + std::to_string(number); }
    void set_list(size_t count, std::optional<TimePoint> started_at = {})
    {
        std::vector<ListedEndpoint> list;
        for (size_t n = 0; n < count; ++n)
            list.push_back(
                {uid_of(n), "1.1.1.1:" + std::to_string(n + 1), EndpointPhase::ready, {}, 1, started_at});
        reduce(EndpointListUpdated{true, std::move(list)});
    }
    std::vector<Effect> reduce(Event event)
    {
        now_ = now_ + seconds(0.001);
        return reducer_.reduce(now_, std::move(event));
    }
    void report(const std::string& uid, const char* load) { reduce(ProbeReportReceived{uid, true, load}); }
    size_t reduced_count() { return reducer_.statistics().hosts_down; }
    TimePoint now() const { return now_; }

    static constexpr size_t upstream_count = 60;

  private:
    ServiceConfig config_;
    Reducer reducer_{config_, 1, "here:1"};
    TimePoint now_{1'000'000'000};
};

// Guards against a crash by a report of an upstream that the decision module was never shown; an overload
// that others have seen counts once the subset holds that upstream.
TEST(Probes, OfOthersAreKeptOfUpstreamsOutsideTheSubset)
{
    for (size_t reported = 0; reported < SubsetMember::upstream_count; ++reported) {
        SubsetMember member;
        for (size_t n = 0; n < SubsetMember::upstream_count; ++n)
            member.report(SubsetMember::uid_of(n), "q=0");
        for (int times = 0; times < 6; ++times) member.report(SubsetMember::uid_of(reported), "q=1000");
        member.report("never-listed", "q=1000");
        EXPECT_EQ(member.reduced_count(), 1u) << reported;
    }
}

// The same of its own probes for the fleet, also where the list has shrunk or the process is another one
// before they end.
TEST(Probes, ForTheFleetMayEndAfterTheListHasChanged)
{
    const std::vector<std::function<void(SubsetMember&)>> changes = {
        [](SubsetMember&) {}, [](SubsetMember& member) { member.set_list(1); },
        [](SubsetMember& member) { member.set_list(SubsetMember::upstream_count, member.now()); },
        [](SubsetMember& member) {
            member.set_list(1);
            member.set_list(2 * SubsetMember::upstream_count);
        }};
    for (const auto& change : changes) {
        SubsetMember member;
        std::vector<AttemptId> probes;
        for (const Effect& effect : member.reduce(ProbesDue{0, 1, 0, 1, 1}))
            if (const auto* connect = std::get_if<ConnectUpstream>(&effect))
                probes.push_back(connect->attempt);
        ASSERT_EQ(probes.size(), SubsetMember::upstream_count);
        for (const AttemptId probe : probes) member.reduce(UpstreamConnected{probe});
        change(member);
        for (const AttemptId probe : probes) {
            Response response;
            response.status = 200;
            response.body = "q=1000";
            member.reduce(ResponseReceived{probe, response});
            member.reduce(ResponseReceived{probe, response});
        }
    }
}

// Guards against a report of a process that has gone being taken for one of its successor at the same uid.
TEST(Probes, OfAProcessThatWasReplacedSayNothingOfItsSuccessor)
{
    SubsetMember member;
    for (size_t n = 0; n < SubsetMember::upstream_count; ++n) member.report(SubsetMember::uid_of(n), "q=0");
    for (int round = 0; round < 6; ++round) {
        std::vector<AttemptId> probes;
        for (const Effect& effect : member.reduce(ProbesDue{0, 1, 0, 1, 1}))
            if (const auto* connect = std::get_if<ConnectUpstream>(&effect))
                probes.push_back(connect->attempt);
        for (const AttemptId probe : probes) member.reduce(UpstreamConnected{probe});
        member.set_list(SubsetMember::upstream_count, member.now());
        for (const AttemptId probe : probes) {
            Response response;
            response.status = 200;
            response.body = "q=1000";
            for (const Effect& effect : member.reduce(ResponseReceived{probe, response}))
                EXPECT_FALSE(std::get_if<ProbeCompleted>(&effect)) << "told to the other balancers";
        }
    }
    EXPECT_EQ(member.reduced_count(), 0u);
}

TEST(Configuration, ReloadMovesTheWatchOnlyToAnotherAddress)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.send(ConfigReloaded{"here:1", {}});
    driver.send(ConfigReloaded{"there:1", {}});
    driver.receive_request();
    driver.connect();
    driver.respond(200);
    EXPECT_EQ(driver.finish(),
              (Lines{"watch endpoints at there:1", "connect to 1.1.1.1:1 for attempt 1 within 1.00 s",
                     "write POST /op/x?y HTTP/1.1", "respond to caller 1: 200",
                     "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(Configuration, KeepsARequestWithItsOperation)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    ServiceConfig next = service_config(Idempotency::non_idempotent);
    next.operation_names = {"other", "op"};
    next.settings.operations.insert(next.settings.operations.begin(),
                                    BalancerHost::make_operation(Idempotency::idempotent));
    driver.receive_request(1);
    driver.connect();
    driver.send(ConfigReloaded{"here:1", next});
    driver.receive_request(2);
    driver.connect();
    driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    next.operation_names = {"other", "third"};
    driver.send(ConfigReloaded{"here:1", next});
    driver.receive_request(3);
    EXPECT_EQ(
        driver.finish(),
        (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
               "watch endpoints at here:1", "connect to 1.1.1.1:1 for attempt 2 within 2.00 s",
               "write POST /op/x?y HTTP/1.1", "respond to caller 2: 502", "watch endpoints at here:1",
               "respond to caller 3: 404, close the connection",
               "op: 0 succeeded, 0 throttled, 1 errored; other: 0 succeeded, 0 throttled, 0 errored; third: "
               "0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down"}));
}

ListedEndpoint started(ListedEndpoint endpoint, TimePoint started_at)
{
    endpoint.started_at = started_at;
    return endpoint;
}

// Connections belong to a process, not to its address.
TEST(Upstreams, ThatHaveRestartedGetNothingOnConnectionsToTheProcessBefore)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    const auto upstream = endpoint_a(EndpointPhase::ready);
    driver.update_list(false, {started(upstream, TimePoint{1'000'000})});
    driver.lines.clear();
    driver.update_list(false, {started(upstream, TimePoint{1'000'000})});
    EXPECT_EQ(driver.lines, Lines{});
    driver.receive_request(1);
    driver.update_list(false, {started(upstream, TimePoint{2'000'000})});
    driver.connect();
    EXPECT_EQ(driver.lines,
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0",
                     "cancel the write of attempt 1", "close the attempt's connection",
                     "connect to 1.1.1.1:1 for attempt 2 within 1.98 s"}));
}

// Guards against a list of long names that takes more memory than is counted for it.
TEST(Upstreams, AreCountedWithTheBytesOfTheirNames)
{
    const auto counted_bytes = [](const std::string& uid, const std::string& endpoint) {
        ServiceConfig config = service_config(Idempotency::idempotent);
        MemoryBudget memory(SIZE_MAX);
        Reducer reducer(config, 1, "here:1", &memory);
        reducer.reduce(TimePoint{1},
                       EndpointListUpdated{true, {{uid, endpoint, EndpointPhase::ready, {}, 1, {}}}});
        return memory.used(MemoryPurpose::endpoint_list);
    };
    const size_t bytes = counted_bytes("a", "1.1.1.1:1");
    EXPECT_GE(bytes, endpoint_memory_bytes);
    EXPECT_GE(counted_bytes(std::string(10'000, 'a'), "1.1.1.1:1"), bytes + 2 * 9'999);
    EXPECT_GE(counted_bytes("a", std::string(10'000, 'e')), bytes + 9'990);
}

TEST(UpstreamSlots, AreReusedButNotUnderAnOpenInvocation)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request(1);
    driver.connect();
    driver.muted = true;
    for (int i = 0; i < 1000; ++i) {
        const auto name = [](int n) { return n < 0 ? "a" : "u" + std::to_string(n); };
        driver.update_list(false,
                           {{name(i - 1), "x", EndpointPhase::gone, {}, 1, {}},
                            {name(i), "1.1.1.1:" + std::to_string(i), EndpointPhase::ready, {}, 1, {}}});
        driver.receive_request(2, ("id2-" + std::to_string(i)).c_str());
        driver.connect();
        driver.respond(200);
    }
    driver.muted = false;
    driver.note(std::to_string(driver.reducer->upstream_slot_count()) + " slots");
    driver.receive_request(3);
    driver.connect();
    driver.respond(200);
    EXPECT_EQ(
        driver.finish(),
        (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "2 slots",
               "connect to 1.1.1.1:999 for attempt 1002 within 2.00 s", "write POST /op/x?y HTTP/1.1",
               "respond to caller 3: 200",
               "op: 1001 succeeded, 0 throttled, 0 errored; 1001 written, 1 in flight, 1 listed, 0 down"}));
}

TEST(UpstreamSlots, OfKnownUpstreamsStayInAFullList)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.update_list(true, {endpoint_b(), endpoint_a(EndpointPhase::ready)});
    driver.note(std::to_string(driver.reducer->upstream_slot_count()) + " slots");
    EXPECT_EQ(driver.finish(),
              (Lines{"2 slots",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 2 listed, 0 down"}));
}

// ---- messages relayed in chunks ----

TEST(LargeResponse, PausesItsUpstreamWhileTheClientReadsNothing)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.connect();
    driver.begin_large_response();
    driver.write_statistics();
    for (int i = 0; i < 5; ++i) driver.receive_response_chunk(20000, false);
    driver.send(ResponseDrained{1});
    driver.receive_response_chunk(20000, true);
    driver.write_statistics();
    driver.send(ResponseDrained{1});
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 1: 200",
                     "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down",
                     "relay 20000 bytes", "relay 20000 bytes", "relay 20000 bytes", "relay 20000 bytes",
                     "pause reading the response", "relay 20000 bytes", "resume reading the response",
                     "relay 20000 bytes, the last",
                     "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down",
                     "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(LargeResponse, ThatBreaksIsAborted)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request();
    driver.connect();
    driver.begin_large_response();
    driver.fail(AttemptProgress::receiving_response, FailureCause::connection_lost);
    driver.respond(200);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 1: 200", "abort the response",
                     "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(LargeResponse, EndsWithItsClient)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.receive_request();
    driver.connect();
    driver.begin_large_response();
    driver.disconnect(1);
    driver.receive_response_chunk(10, true);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                     "respond to caller 1: 200", "close the attempt's connection",
                     "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(LargeResponse, ThatIsAnErrorOrWithoutAClientIsNotRelayed)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request();
    driver.connect();
    driver.begin_large_response(500);
    driver.receive_request(2);
    driver.connect();
    driver.disconnect(2);
    driver.begin_large_response();
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                     "close the attempt's connection", "respond to caller 1: 502",
                     "connect to 1.1.1.1:1 for attempt 2 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                     "close the attempt's connection", "close the attempt's connection",
                     "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(LargeRequest, HasItsTimeoutFromItsLastByte)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.begin_large_request(1);
    driver.connect();
    driver.finish_write();
    driver.advance(30);
    driver.receive_chunk(1, 40000, false);
    driver.receive_chunk(1, 40000, false);
    driver.finish_write();
    driver.receive_chunk(1, 10, true);
    driver.finish_write();
    driver.write_statistics();
    driver.respond(200);
    EXPECT_EQ(
        driver.finish(),
        (Lines{"connect to 1.1.1.1:1 for attempt 1 within 3600.00 s",
               "write POST /op/x HTTP/1.1, more follows", "resume reading the request",
               "write 40000 bytes, more follows", "write 40000 bytes, more follows",
               "pause reading the request", "resume reading the request", "write 10 bytes", "timeout 2.00 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 down",
               "respond to caller 1: 200",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

// Its upstream takes nothing, and the clocks of clients may differ by the margin.
TEST(LargeRequest, ThatIsNotTakenEndsOnceItsClientsTimeIsOver)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.set_time_left_margin(seconds(0.2));
    driver.begin_large_request(1);
    driver.connect();
    driver.lines.clear();
    driver.send(RequestStalled{1, seconds(1.9)});
    EXPECT_EQ(driver.lines, Lines{});
    for (int report = 0; report < 10; ++report) driver.send(RequestStalled{1, seconds(2.1)});
    EXPECT_EQ(driver.lines, (Lines{"timeout 0.20 s"}));
}

// The operation's index means another one, or none, in the new settings.
TEST(Request, IsRememberedByTheSettingsThatItCameUnder)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.receive_request(1, "x");
    driver.set_idempotency(Idempotency::idempotent);
    driver.connect();
    driver.disconnect(1);
    driver.set_idempotency(Idempotency::non_idempotent);
    driver.lines.clear();
    driver.receive_request(2, "x");
    EXPECT_EQ(driver.lines, (Lines{"respond to caller 2: 409, close the connection"}));
}

TEST(LargeRequest, IsForwardedAgainWhileAllOfItIsBuffered)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.begin_large_request(1);
    driver.connect();
    driver.fail(AttemptProgress::partly_written, FailureCause::connection_lost);
    driver.connect();
    driver.finish_write();
    driver.receive_chunk(1, 10, true);
    driver.respond(200);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 3600.00 s",
                     "write POST /op/x HTTP/1.1, more follows", "pause reading the request",
                     "connect to 1.1.1.1:1 for attempt 2 within 3599.98 s",
                     "write POST /op/x HTTP/1.1, more follows", "resume reading the request",
                     "write 10 bytes", "timeout 2.00 s", "respond to caller 1: 200",
                     "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 1 down"}));
}

TEST(LargeRequest, ThatBreaksLaterIsThrottled)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.begin_large_request(1);
    driver.connect();
    driver.finish_write();
    driver.receive_chunk(1, 10, false);
    driver.fail(AttemptProgress::partly_written, FailureCause::connection_lost);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 3600.00 s",
                     "write POST /op/x HTTP/1.1, more follows", "resume reading the request",
                     "write 10 bytes, more follows", "pause reading the request",
                     "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 1 down"}));
}

TEST(LargeRequest, ThatWasSentCompletelyCannotBeSentAgain)
{
    ReducerDriver driver(Idempotency::idempotent);
    driver.begin_large_request(1);
    driver.connect();
    driver.finish_write();
    driver.receive_chunk(1, 10, true);
    driver.fail(AttemptProgress::written, FailureCause::connection_lost);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 3600.00 s",
                     "write POST /op/x HTTP/1.1, more follows", "resume reading the request",
                     "write 10 bytes", "timeout 1.00 s", "respond to caller 1: 503, Retry-After",
                     "op: 0 succeeded, 1 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 down"}));
}

TEST(LargeRequest, EndsWithItsClient)
{
    ReducerDriver driver(Idempotency::non_idempotent);
    driver.begin_large_request(1);
    driver.connect();
    driver.finish_write();
    driver.receive_chunk(1, 10, false);
    driver.disconnect(1);
    EXPECT_EQ(driver.finish(),
              (Lines{"connect to 1.1.1.1:1 for attempt 1 within 3600.00 s",
                     "write POST /op/x HTTP/1.1, more follows", "resume reading the request",
                     "write 10 bytes, more follows", "close the attempt's connection",
                     "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 down"}));
}

}  // namespace
}  // namespace firtide::net
