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
    return {"a", address, phase, 0, 0, 1, {}};
}

ListedEndpoint endpoint_b(EndpointPhase phase = EndpointPhase::ready)
{
    return {"b", "2.2.2.2:2", phase, 0, 0, 1, {}};
}

std::string two_decimals(Duration span)
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
        add("answer caller " + std::to_string(effect.caller) + ": " + std::to_string(effect.response.status) +
            (effect.response.forwarded_headers.empty() ? "" : ", come back later") +
            (effect.close_connection ? ", the last on its connection" : ""));
    }
    void operator()(const ConnectUpstream& effect)
    {
        add("dial " + effect.endpoint + " for attempt " + std::to_string(effect.attempt) + " within " +
            two_decimals(effect.timeout) + " s");
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
        add(effect.enabled ? "read on from the upstream" : "hold the upstream");
    }
    void operator()(const SetRequestReading& effect)
    {
        add(effect.enabled ? "read on from the caller" : "hold the caller");
    }
    void operator()(const SendResponseChunk& effect)
    {
        add("pass " + std::to_string(effect.bytes.size()) + " bytes" + (effect.is_last ? ", the last" : ""));
    }
    void operator()(const AbortResponse&) { add("cut the answer"); }
    void operator()(const SetAttemptTimeout& effect) { add("within " + two_decimals(effect.timeout) + " s"); }
    void operator()(const AdminCommandResult& effect)
    {
        add((effect.success ? "obeyed, " : "not obeyed, ") +
            std::to_string(static_cast<int>(effect.serving_state)));
    }
    void operator()(const MoveEndpointWatch& effect) { add("move the watch to " + effect.discovery_address); }
    void operator()(const CloseUpstream&) { add("hang up"); }
    void operator()(const CancelWrite& effect) { add("withdraw attempt " + std::to_string(effect.attempt)); }
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
class Play
{
  public:
    explicit Play(Idempotency repeat, bool probes = false, Duration client_timeout = seconds(2))
        : config_(service_config(repeat))
    {
        config_.settings.operations[0].client_timeout = client_timeout;
        config_.settings.may_probe = config_.settings.load_reports_by_probe = probes;
        reducer = std::make_unique<Reducer>(config_, 1, "here:1");
        tell(ServiceStarted{});
        list(true, {endpoint_a(EndpointPhase::ready)});
    }

    void tell(Event event)
    {
        now = now + seconds(0.01);
        for (const Effect& effect : reducer->reduce(now, std::move(event))) {
            if (const auto* connect = std::get_if<ConnectUpstream>(&effect)) last = connect->attempt;
            if (const auto* timer = std::get_if<StartTimer>(&effect)) last_timer_ = timer->timer_id;
            if (!quiet) std::visit(EffectWriter(lines), effect);
        }
    }
    void pass(double time) { now = now + seconds(time); }
    void list(bool all, std::vector<ListedEndpoint> entries)
    {
        tell(EndpointListUpdated{all, std::move(entries)});
    }
    void arrive(RequestId caller = 1, const char* id = nullptr, Duration left = seconds(2))
    {
        const std::string name = id ? id : "id" + std::to_string(caller);
        tell(RequestReceived{caller,
                             {"POST", "/op/x?y", name, 0, 0, left, {{"Req-Id", name}}, "body", edition}});
    }
    void connected() { tell(UpstreamConnected{last}); }
    void written() { tell(RequestWritten{last}); }
    void answered(int status, bool declined = false)
    {
        tell(ResponseReceived{last, {status, declined, {}, {}, "an answer"}});
    }
    void failed(AttemptProgress progress, FailureCause cause)
    {
        tell(AttemptFailed{last, {progress, cause}});
    }
    void leaves(RequestId caller) { tell(DownstreamDisconnected{caller}); }
    void half_closes(RequestId caller) { tell(DownstreamHalfClosed{caller}); }
    void command(AdminCommand command) { tell(AdminCommandReceived{++last_command_, command}); }
    void fire_timer() { tell(TimerFired{last_timer_}); }
    // A request that is too large to buffer.
    void begin(RequestId caller)
    {
        Request request{"POST",  "/op/x", "id" + std::to_string(caller), 0, 0, seconds(2), {},
                        "begun", edition};
        request.body_incomplete = true;
        request.content_length = 300000;
        tell(RequestReceived{caller, std::move(request)});
    }
    void bring(RequestId caller, size_t bytes, bool last_chunk)
    {
        tell(RequestChunkReceived{caller, std::string(bytes, 'x'), last_chunk});
    }
    // A response that is too large to buffer.
    void begins_answer(int status = 200)
    {
        Response response{status, false, {}, {}, "begun"};
        response.body_incomplete = true;
        response.content_length = 300000;
        tell(ResponseReceived{last, std::move(response)});
    }
    void comes(size_t bytes, bool last_chunk)
    {
        tell(ResponseChunkReceived{last, std::string(bytes, 'x'), last_chunk});
    }
    // New settings with another time_left_margin.
    void set_margin(Duration margin)
    {
        config_.settings.time_left_margin = margin;
        tell(ConfigReloaded{"here:1", config_});
        ++edition;
    }
    void note(std::string line) { lines.push_back(std::move(line)); }

    // In all cases, every received request is answered, in flight or abandoned.
    void write_statistics()
    {
        const auto figures = reducer->statistics();
        uint64_t answered = 0;
        std::string line;
        for (const auto& [name, count] : figures.outcomes_by_operation) {
            answered += count.success + count.busy + count.failure;
            line += name + ": " + std::to_string(count.success) + " succeeded, " +
                    std::to_string(count.busy) + " throttled, " + std::to_string(count.failure) +
                    " errored; ";
        }
        line += std::to_string(figures.backend_calls) + " written, " + std::to_string(figures.inflight) +
                " in flight, " + std::to_string(figures.hosts_listed) + " listed, " +
                std::to_string(figures.hosts_down) + " avoided";
        EXPECT_EQ(figures.requests_received, answered + figures.inflight + figures.requests_abandoned);
        note(line);
    }
    Lines finish()
    {
        write_statistics();
        return lines;
    }

    std::unique_ptr<Reducer> reducer;
    TimePoint now{1'000'000'000};
    AttemptId last = 0;
    bool quiet = false;
    uint32_t edition = 0;  // of the settings that requests are decoded with
    Lines lines;

  private:
    ServiceConfig config_;
    uint64_t last_timer_ = 0;
    AdminConnectionId last_command_ = 0;
};

// ---- what the end of an attempt proves ----

template <class End>
void expect_end(Idempotency repeat, End end, const Lines& expected)
{
    Play play(repeat);
    play.arrive();
    play.connected();
    end(play);
    EXPECT_EQ(play.finish(), expected);
}

TEST(AttemptEnd, ABare503ProvesNothing)
{
    const auto end = [](Play& play) { play.answered(503); };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, ADeclinedRequestNeverRan)
{
    const auto end = [](Play& play) { play.answered(503, true); };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(Idempotency::non_idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 1.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, A400FindsFaultWithTheRequest)
{
    const auto end = [](Play& play) { play.answered(400); };
    expect_end(
        Idempotency::idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, A500MayHaveRun)
{
    const auto end = [](Play& play) { play.answered(500); };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, BrokenAfterTheLastByteMayHaveRun)
{
    const auto end = [](Play& play) { play.failed(AttemptProgress::written, FailureCause::connection_lost); };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, BrokenWithinTheAnswerMayHaveRun)
{
    const auto end = [](Play& play) {
        play.failed(AttemptProgress::receiving_response, FailureCause::connection_lost);
    };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, AnUnreadableAnswerMayHaveRun)
{
    const auto end = [](Play& play) {
        play.failed(AttemptProgress::receiving_response, FailureCause::invalid_response);
    };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, BrokenBeforeTheLastByteNeverRan)
{
    const auto end = [](Play& play) {
        play.failed(AttemptProgress::partly_written, FailureCause::connection_lost);
    };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 avoided"});
    expect_end(Idempotency::non_idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 1.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 avoided"});
}

TEST(AttemptEnd, TimeUpBeforeTheLastByteNeverRan)
{
    const auto end = [](Play& play) {
        play.failed(AttemptProgress::partly_written, FailureCause::timed_out);
    };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 avoided"});
    expect_end(Idempotency::non_idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 1.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 avoided"});
}

TEST(AttemptEnd, TimeUpAfterTheLastByteMayHaveRun)
{
    const auto end = [](Play& play) { play.failed(AttemptProgress::written, FailureCause::timed_out); };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "dial 1.1.1.1:1 for attempt 2 within 0.98 s",
                "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"});
    expect_end(
        Idempotency::non_idempotent, end,
        {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "answer caller 1: 502",
         "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(AttemptEnd, WithoutADescriptorNothingWasSent)
{
    const auto end = [](Play& play) {
        play.failed(AttemptProgress::not_connected, FailureCause::no_descriptor);
    };
    expect_end(Idempotency::idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
                "answer caller 1: 503, come back later",
                "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 avoided"});
    expect_end(Idempotency::non_idempotent, end,
               {"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
                "answer caller 1: 503, come back later",
                "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 avoided"});
}

TEST(Request, IsAnsweredOnce)
{
    Play play(Idempotency::idempotent);
    play.arrive();
    play.connected();
    play.answered(200);
    play.answered(200);
    play.failed(AttemptProgress::written, FailureCause::connection_lost);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

// ---- what changes while a connection is being made ----

TEST(Connecting, ToADrainedUpstreamWritesNothing)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.list(false, {endpoint_a(EndpointPhase::draining), endpoint_b()});
    play.connected();
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0",
               "withdraw attempt 1", "hang up", "dial 2.2.2.2:2 for attempt 2 within 1.98 s",
               "write POST /op/x?y HTTP/1.1",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 2 listed, 1 avoided"}));
}

TEST(Connecting, ToAnUpstreamThatAWholeListOmitsWritesNothing)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.list(true, {endpoint_b()});
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0",
               "withdraw attempt 1", "hang up", "dial 2.2.2.2:2 for attempt 2 within 1.98 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Connecting, ToAnUpstreamThatHasMovedWritesNothing)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.list(false, {endpoint_a(EndpointPhase::ready, "3.3.3.3:3")});
    play.connected();
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "close idle connections of u0", "hang up",
               "dial 3.3.3.3:3 for attempt 2 within 1.98 s", "write POST /op/x?y HTTP/1.1",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 1 avoided"}));
}

TEST(Connecting, ForAClientThatHasLeftWritesNothing)
{
    Play play(Idempotency::idempotent);
    play.arrive();
    play.leaves(1);
    play.connected();
    play.leaves(1);
    play.note(std::to_string(play.reducer->in_flight()) + " in flight");
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "hang up", "0 in flight",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(Connecting, TakesLongerThanThereIsTime)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.pass(3);
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "hang up",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 1 avoided"}));
}

TEST(Connecting, EndsForAHalfClosedClient)
{
    Play play(Idempotency::idempotent);
    play.arrive();
    play.half_closes(1);
    play.pass(0.1);
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "hang up",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 1 avoided"}));
}

TEST(Request, OfAClientThatHasLeftTakesNoAnswer)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.connected();
    play.leaves(1);
    play.answered(200);
    play.note(std::to_string(play.reducer->in_flight()) + " in flight");
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "hang up",
               "0 in flight",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(Request, OfAHalfClosedClientIsNotForwardedAgain)
{
    Play play(Idempotency::idempotent);
    play.list(false, {endpoint_b()});
    play.arrive();
    play.connected();
    play.half_closes(1);
    play.pass(0.1);
    play.answered(503, true);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 1 written, 0 in flight, 2 listed, 0 avoided"}));
}

TEST(Request, IsWithdrawnFromAnUpstreamThatDrains)
{
    Play play(Idempotency::non_idempotent);
    play.list(false, {endpoint_b()});
    play.arrive();
    play.connected();
    play.list(false, {endpoint_a(EndpointPhase::draining), endpoint_b(EndpointPhase::draining)});
    play.failed(AttemptProgress::partly_written, FailureCause::write_cancelled);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 2.2.2.2:2 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
               "close idle connections of u0", "close idle connections of u1", "withdraw attempt 1",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 2 listed, 2 avoided"}));
}

TEST(Request, IsRepeatedWithinTheWindow)
{
    Play play(Idempotency::deduplicated);
    play.list(false, {endpoint_b()});
    play.arrive(1, nullptr, seconds(6));
    play.connected();
    play.failed(AttemptProgress::written, FailureCause::connection_lost);
    play.pass(0.1);
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "dial 1.1.1.1:1 for attempt 2 within 0.98 s", "write POST /op/x?y HTTP/1.1",
               "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 2 listed, 0 avoided"}));
}

TEST(Request, IsNotRepeatedOnceTheWindowIsOver)
{
    Play play(Idempotency::deduplicated);
    play.list(false, {endpoint_b()});
    play.arrive(1, nullptr, seconds(6));
    play.connected();
    play.failed(AttemptProgress::written, FailureCause::connection_lost);
    play.pass(2.5);
    play.connected();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 2.2.2.2:2 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "dial 1.1.1.1:1 for attempt 2 within 0.98 s", "hang up",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 1 written, 0 in flight, 2 listed, 1 avoided"}));
}

TEST(Request, WithAnOpenIdIsRefused)
{
    Play play(Idempotency::non_idempotent);
    play.arrive(1, "x");
    play.connected();
    play.arrive(2, "x");
    play.answered(200);
    play.arrive(3, "x");
    play.connected();
    play.leaves(3);
    play.arrive(4, "x");
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 2: 409, the last on its connection", "answer caller 1: 200",
               "dial 1.1.1.1:1 for attempt 2 within 2.00 s", "write POST /op/x?y HTTP/1.1", "hang up",
               "dial 1.1.1.1:1 for attempt 3 within 2.00 s",
               "op: 1 succeeded, 0 throttled, 1 errored; 1 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Request, WithoutAnUpstreamIsThrottled)
{
    Play play(Idempotency::idempotent);
    play.list(true, {});
    play.arrive();
    EXPECT_EQ(
        play.finish(),
        (Lines{"close idle connections of u0", "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 0 listed, 0 avoided"}));
}

// ---- the shutdown ----

void shut_down(Play& play, Duration client_timeout)
{
    play.set_margin(seconds(0.2));
    char line[64];
    std::snprintf(line, sizeof line, "%.1f s: answers for %.1f s", client_timeout.seconds(),
                  play.reducer->shutdown_response_time().seconds());
    play.note(line);
    play.tell(ShutdownStarted{});
    for (const double after : {0.3, 0.7, 1.9}) {
        const bool turned_out = play.reducer->should_close_connections(play.now + seconds(after));
        std::snprintf(line, sizeof line, "%.1f s after: callers are %s", after,
                      turned_out ? "turned out" : "served");
        play.note(line);
    }
    play.pass(0.5);
    play.arrive(1, nullptr, seconds(8));
}

TEST(Shutdown, WhereClientsWaitForHalfASecond)
{
    Play play(Idempotency::idempotent, false, seconds(0.5));
    shut_down(play, seconds(0.5));
    EXPECT_EQ(
        play.finish(),
        (Lines{"move the watch to here:1", "0.5 s: answers for 0.9 s", "0.3 s after: callers are served",
               "0.7 s after: callers are turned out", "1.9 s after: callers are turned out",
               "dial 1.1.1.1:1 for attempt 1 within 0.39 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Shutdown, WhereClientsWaitForTwoSeconds)
{
    Play play(Idempotency::idempotent, false, seconds(2));
    shut_down(play, seconds(2));
    EXPECT_EQ(
        play.finish(),
        (Lines{"move the watch to here:1", "2.0 s: answers for 2.4 s", "0.3 s after: callers are served",
               "0.7 s after: callers are served", "1.9 s after: callers are turned out",
               "dial 1.1.1.1:1 for attempt 1 within 1.00 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Shutdown, WhereClientsWaitForEightSeconds)
{
    Play play(Idempotency::idempotent, false, seconds(8));
    shut_down(play, seconds(8));
    EXPECT_EQ(
        play.finish(),
        (Lines{"move the watch to here:1", "8.0 s: answers for 3.4 s", "0.3 s after: callers are served",
               "0.7 s after: callers are served", "1.9 s after: callers are served",
               "dial 1.1.1.1:1 for attempt 1 within 1.00 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Shutdown, AnswersWhatComesForAWhile)
{
    Play play(Idempotency::idempotent);
    play.arrive();
    play.connected();
    play.tell(ShutdownStarted{});
    play.answered(200);
    // Requests are served for a while, ending before the process may be killed; then each response is the
    // last on its connection.
    play.pass(1.9);
    play.arrive(2);
    play.pass(0.2);
    play.connected();
    play.answered(200);
    play.note(play.reducer->ready() ? "ready" : "not ready");
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200", "dial 1.1.1.1:1 for attempt 2 within 0.48 s",
               "write POST /op/x?y HTTP/1.1", "answer caller 2: 200, the last on its connection", "not ready",
               "op: 2 succeeded, 0 throttled, 0 errored; 2 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(Lifecycle, DrainsTwiceResumesTwiceAndStops)
{
    Play play(Idempotency::idempotent);
    for (const auto command :
         {AdminCommand::ready, AdminCommand::drain, AdminCommand::drain, AdminCommand::ready,
          AdminCommand::resume, AdminCommand::resume, AdminCommand::ready, AdminCommand::drain})
        play.command(command);
    // A reload does not end the drain.
    play.tell(ConfigReloaded{"there:1", {}});
    play.command(AdminCommand::ready);
    play.arrive(1);
    play.connected();
    play.answered(200);
    play.pass(0.5);
    play.arrive(2);
    play.connected();
    play.answered(200);
    play.tell(ShutdownStarted{});
    play.command(AdminCommand::resume);
    play.command(AdminCommand::ready);
    EXPECT_EQ(
        play.finish(),
        (Lines{"obeyed, 1", "obeyed, 2", "obeyed, 2", "not obeyed, 2", "obeyed, 1", "obeyed, 1", "obeyed, 1",
               "obeyed, 2", "move the watch to there:1", "not obeyed, 2",
               "dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200", "dial 1.1.1.1:1 for attempt 2 within 1.00 s",
               "write POST /op/x?y HTTP/1.1", "answer caller 2: 200, the last on its connection",
               "not obeyed, 3", "not obeyed, 3",
               "op: 2 succeeded, 0 throttled, 0 errored; 2 written, 0 in flight, 1 listed, 0 avoided"}));
}

// ---- probes, settings and upstream slots ----

TEST(Probes, GoToWhatIsInUse)
{
    Play play(Idempotency::idempotent, true);
    play.arrive();
    play.connected();
    play.answered(200);
    play.fire_timer();
    play.connected();
    play.answered(200);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200", "dial 1.1.1.1:1 for attempt 2 within 0.25 s",
               "write GET /-/load HTTP/1.1",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(Configuration, ThatIsReadAgainMovesTheWatchOnlyToAnotherAddress)
{
    Play play(Idempotency::idempotent);
    play.tell(ConfigReloaded{"here:1", {}});
    play.tell(ConfigReloaded{"there:1", {}});
    play.arrive();
    play.connected();
    play.answered(200);
    EXPECT_EQ(
        play.finish(),
        (Lines{"move the watch to there:1", "dial 1.1.1.1:1 for attempt 1 within 1.00 s",
               "write POST /op/x?y HTTP/1.1", "answer caller 1: 200",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(Configuration, KeepsARequestWithItsOperation)
{
    Play play(Idempotency::non_idempotent);
    ServiceConfig next = service_config(Idempotency::non_idempotent);
    next.operation_names = {"other", "op"};
    next.settings.operations.insert(next.settings.operations.begin(),
                                    BalancerHost::make_operation(Idempotency::idempotent));
    play.arrive(1);
    play.connected();
    play.tell(ConfigReloaded{"here:1", next});
    play.arrive(2);
    play.connected();
    play.failed(AttemptProgress::written, FailureCause::connection_lost);
    next.operation_names = {"other", "third"};
    play.tell(ConfigReloaded{"here:1", next});
    play.arrive(3);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
               "move the watch to here:1", "dial 1.1.1.1:1 for attempt 2 within 2.00 s",
               "write POST /op/x?y HTTP/1.1", "answer caller 2: 502", "move the watch to here:1",
               "answer caller 3: 404, the last on its connection",
               "op: 0 succeeded, 0 throttled, 1 errored; other: 0 succeeded, 0 throttled, 0 errored; third: "
               "0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Places, AreUsedAgainButNotUnderAnOpenInvocation)
{
    Play play(Idempotency::non_idempotent);
    play.arrive(1);
    play.connected();
    play.quiet = true;
    for (int i = 0; i < 1000; ++i) {
        const auto name = [](int n) { return n < 0 ? "a" : "u" + std::to_string(n); };
        play.list(false, {{name(i - 1), "x", EndpointPhase::gone, 0, 0, 1, {}},
                          {name(i), "1.1.1.1:" + std::to_string(i), EndpointPhase::ready, 0, 0, 1, {}}});
        play.arrive(2);
        play.connected();
        play.answered(200);
    }
    play.quiet = false;
    play.note(std::to_string(play.reducer->upstream_slot_count()) + " places");
    play.arrive(3);
    play.connected();
    play.answered(200);
    EXPECT_EQ(
        play.finish(),
        (Lines{
            "dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "2 places",
            "dial 1.1.1.1:999 for attempt 1002 within 2.00 s", "write POST /op/x?y HTTP/1.1",
            "answer caller 3: 200",
            "op: 1001 succeeded, 0 throttled, 0 errored; 1001 written, 1 in flight, 1 listed, 0 avoided"}));
}

TEST(Places, OfKnownUpstreamsStayInAWholeList)
{
    Play play(Idempotency::idempotent);
    play.list(true, {endpoint_b(), endpoint_a(EndpointPhase::ready)});
    play.note(std::to_string(play.reducer->upstream_slot_count()) + " places");
    EXPECT_EQ(
        play.finish(),
        (Lines{"2 places",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 2 listed, 0 avoided"}));
}

// ---- messages relayed in chunks ----

TEST(LargeAnswer, HoldsItsUpstreamWhileTheClientTakesNothing)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.connected();
    play.begins_answer();
    play.write_statistics();
    for (int i = 0; i < 5; ++i) play.comes(20000, false);
    play.tell(ResponseDrained{1});
    play.comes(20000, true);
    play.write_statistics();
    play.tell(ResponseDrained{1});
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200",
               "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided",
               "pass 20000 bytes", "pass 20000 bytes", "pass 20000 bytes", "pass 20000 bytes",
               "hold the upstream", "pass 20000 bytes", "read on from the upstream",
               "pass 20000 bytes, the last",
               "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(LargeAnswer, ThatBreaksIsCut)
{
    Play play(Idempotency::idempotent);
    play.arrive();
    play.connected();
    play.begins_answer();
    play.failed(AttemptProgress::receiving_response, FailureCause::connection_lost);
    play.answered(200);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200", "cut the answer",
               "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(LargeAnswer, EndsWithItsClient)
{
    Play play(Idempotency::idempotent);
    play.arrive();
    play.connected();
    play.begins_answer();
    play.leaves(1);
    play.comes(10, true);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 1.00 s", "write POST /op/x?y HTTP/1.1",
               "answer caller 1: 200", "hang up",
               "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(LargeAnswer, ThatIsAnErrorOrForNobodyIsNotPassedOn)
{
    Play play(Idempotency::non_idempotent);
    play.arrive();
    play.connected();
    play.begins_answer(500);
    play.arrive(2);
    play.connected();
    play.leaves(2);
    play.begins_answer();
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 2.00 s", "write POST /op/x?y HTTP/1.1", "hang up",
               "answer caller 1: 502", "dial 1.1.1.1:1 for attempt 2 within 2.00 s",
               "write POST /op/x?y HTTP/1.1", "hang up", "hang up",
               "op: 0 succeeded, 0 throttled, 1 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(LargeRequest, HasItsTimeFromItsLastByte)
{
    Play play(Idempotency::non_idempotent);
    play.begin(1);
    play.connected();
    play.written();
    play.pass(30);
    play.bring(1, 40000, false);
    play.bring(1, 40000, false);
    play.written();
    play.bring(1, 10, true);
    play.written();
    play.write_statistics();
    play.answered(200);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 3600.00 s", "write POST /op/x HTTP/1.1, more follows",
               "read on from the caller", "write 40000 bytes, more follows",
               "write 40000 bytes, more follows", "hold the caller", "read on from the caller",
               "write 10 bytes", "within 2.00 s",
               "op: 0 succeeded, 0 throttled, 0 errored; 1 written, 1 in flight, 1 listed, 0 avoided",
               "answer caller 1: 200",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(LargeRequest, IsForwardedAgainWhileAllOfItIsHeld)
{
    Play play(Idempotency::non_idempotent);
    play.begin(1);
    play.connected();
    play.failed(AttemptProgress::partly_written, FailureCause::connection_lost);
    play.connected();
    play.written();
    play.bring(1, 10, true);
    play.answered(200);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 3600.00 s", "write POST /op/x HTTP/1.1, more follows",
               "hold the caller", "dial 1.1.1.1:1 for attempt 2 within 3599.98 s",
               "write POST /op/x HTTP/1.1, more follows", "read on from the caller", "write 10 bytes",
               "within 2.00 s", "answer caller 1: 200",
               "op: 1 succeeded, 0 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 1 avoided"}));
}

TEST(LargeRequest, ThatBreaksLaterIsThrottled)
{
    Play play(Idempotency::non_idempotent);
    play.begin(1);
    play.connected();
    play.written();
    play.bring(1, 10, false);
    play.failed(AttemptProgress::partly_written, FailureCause::connection_lost);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 3600.00 s", "write POST /op/x HTTP/1.1, more follows",
               "read on from the caller", "write 10 bytes, more follows", "hold the caller",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 1 avoided"}));
}

TEST(LargeRequest, ThatWasSentWholeCannotBeSentAgain)
{
    Play play(Idempotency::idempotent);
    play.begin(1);
    play.connected();
    play.written();
    play.bring(1, 10, true);
    play.failed(AttemptProgress::written, FailureCause::connection_lost);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 3600.00 s", "write POST /op/x HTTP/1.1, more follows",
               "read on from the caller", "write 10 bytes", "within 1.00 s",
               "answer caller 1: 503, come back later",
               "op: 0 succeeded, 1 throttled, 0 errored; 1 written, 0 in flight, 1 listed, 0 avoided"}));
}

TEST(LargeRequest, EndsWithItsClient)
{
    Play play(Idempotency::non_idempotent);
    play.begin(1);
    play.connected();
    play.written();
    play.bring(1, 10, false);
    play.leaves(1);
    EXPECT_EQ(
        play.finish(),
        (Lines{"dial 1.1.1.1:1 for attempt 1 within 3600.00 s", "write POST /op/x HTTP/1.1, more follows",
               "read on from the caller", "write 10 bytes, more follows", "hang up",
               "op: 0 succeeded, 0 throttled, 0 errored; 0 written, 0 in flight, 1 listed, 0 avoided"}));
}

}  // namespace
}  // namespace firtide::net
