// What the reducer asks for, event by event: no sockets.
#include "src/net/reducer.h"

#include "trace.h"

using namespace firtide;
using namespace firtide::net;

namespace
{

ServiceConfig setup(Idempotency repeat)
{
    ServiceConfig s;
    s.settings = Stage::settings(Stage::op(repeat));
    s.operations = {"op"};
    s.report_names = {"q"};
    s.report = {&LoadReport::queue};
    return s;
}

class Play
{
  public:
    Play(const char* what, Idempotency repeat, bool probes = false, Span client_timeout = seconds(2))
        : setup_(setup(repeat))
    {
        setup_.settings.operations[0].client_timeout = client_timeout;
        std::printf("-- %s\n", what);
        setup_.settings.may_probe = setup_.settings.reports_by_probe = probes;
        reducer = std::make_unique<Reducer>(setup_, 1, "here:1");
        tell(ServiceStarted{});
        list(true, {{"a", "1.1.1.1:1", EndpointPhase::ready, 0, 0, 1, {}}});
    }
    ~Play() { figures(); }
    void list(bool all, std::vector<ListedEndpoint> entries)
    {
        tell(EndpointListUpdated{all, std::move(entries)});
    }
    void arrive(RequestId caller = 1, const char* id = nullptr, Span left = seconds(2))
    {
        const std::string name = id ? id : "id" + std::to_string(caller);
        tell(RequestReceived{caller,
                             {"POST", "/op/x?y", name, 0, 0, left, {{"Req-Id", name}}, "body", edition}});
    }
    void answered(int status, bool declined = false, LoadReport report = {})
    {
        tell(ResponseReceived{last, {status, declined, report, {}, "an answer"}});
    }
    void failed(AttemptProgress progress, FailureCause cause)
    {
        tell(AttemptFailed{last, {progress, cause}});
    }
    void tell(Event event)
    {
        now = now + seconds(0.01);
        for (const Effect& e : reducer->reduce(now, std::move(event))) {
            if (const auto* d = std::get_if<ConnectUpstream>(&e)) last = d->attempt;
            if (quiet) continue;
            if (const auto* a = std::get_if<SendResponse>(&e))
                std::printf("answer caller %llu: %d%s%s\n", static_cast<unsigned long long>(a->caller),
                            a->response.status, a->response.passed_on.empty() ? "" : ", come back later",
                            a->last_on_connection ? ", the last on its connection" : "");
            if (const auto* d = std::get_if<ConnectUpstream>(&e)) {
                std::printf("dial %s for attempt %llu within %.2f s\n", d->endpoint.c_str(),
                            static_cast<unsigned long long>(d->attempt), d->limit.seconds());
            }
            if (const auto* w = std::get_if<WriteUpstream>(&e))
                std::printf("write %s%s\n",
                            w->bytes.find('\r') == std::string::npos
                                ? (std::to_string(w->bytes.size()) + " bytes").c_str()
                                : first_line(w->bytes).c_str(),
                            w->more ? ", more follows" : "");
            if (const auto* r = std::get_if<SetResponseReading>(&e))
                std::printf("%s\n", r->more ? "read on from the upstream" : "hold the upstream");
            if (const auto* h = std::get_if<SetRequestReading>(&e))
                std::printf("%s\n", h->more ? "read on from the caller" : "hold the caller");
            if (const auto* c = std::get_if<SendResponseChunk>(&e))
                std::printf("pass %zu bytes%s\n", c->bytes.size(), c->last ? ", the last" : "");
            if (std::get_if<AbortResponse>(&e)) std::printf("cut the answer\n");
            if (const auto* l = std::get_if<SetAttemptTimeout>(&e))
                std::printf("within %.2f s\n", l->limit.seconds());
            if (const auto* o = std::get_if<AdminCommandResult>(&e))
                std::printf("%s, %d\n", o->success ? "obeyed" : "not obeyed",
                            static_cast<int>(o->serving_state));
            if (const auto* m = std::get_if<MoveEndpointWatch>(&e))
                std::printf("move the watch to %s\n", m->discovery.c_str());
            if (std::get_if<CloseUpstream>(&e)) std::printf("hang up\n");
            if (const auto* w = std::get_if<CancelWrite>(&e))
                std::printf("withdraw attempt %llu\n", static_cast<unsigned long long>(w->attempt));
            if (const auto* c = std::get_if<CloseIdle>(&e))
                std::printf("close idle connections of u%u\n", c->upstream_id);
            if (const auto* w = std::get_if<StartTimer>(&e)) woken_ = w->name;
        }
    }
    void wake() { tell(TimerFired{woken_}); }
    void bring(RequestId caller, size_t bytes, bool whole)
    {
        tell(RequestChunkReceived{caller, std::string(bytes, 'x'), whole});
    }
    void begin(RequestId caller)  // a request that is too large to come whole
    {
        Request r{"POST", "/op/x", "id" + std::to_string(caller), 0, 0, seconds(2), {}, "begun", edition};
        r.more = true, r.length = 300000;
        tell(RequestReceived{caller, std::move(r)});
    }
    void begins_answer(int status = 200)
    {
        Response r{status, false, {}, {}, "begun"};
        r.more = true, r.length = 300000;
        tell(ResponseReceived{last, std::move(r)});
    }
    void comes(size_t bytes, bool whole)
    {
        tell(ResponseChunkReceived{last, std::string(bytes, 'x'), whole});
    }
    // Whatever happened: what was taken is answered, in flight or left.
    void figures() const
    {
        const auto f = reducer->figures();
        uint64_t answered = 0;
        for (const auto& [name, n] : f.of_operation) {
            answered += n.success + n.busy + n.failure;
            std::printf("%s: %d succeeded, %d throttled, %d errored; ", name.c_str(),
                        static_cast<int>(n.success), static_cast<int>(n.busy), static_cast<int>(n.failure));
        }
        std::printf("%d written, %zu in flight, %zu listed, %zu avoided%s\n",
                    static_cast<int>(f.backend_calls), f.inflight, f.hosts_listed, f.hosts_down,
                    f.taken == answered + f.inflight + f.left ? "" : "; TAKEN IS ANOTHER SUM");
    }
    void connected() { tell(UpstreamConnected{last}); }
    void margin(Span by)  // of clocks, by new settings
    {
        setup_.settings.left_margin = by;
        tell(ConfigReloaded{"here:1", setup_});
        ++edition;
    }
    static ListedEndpoint b(EndpointPhase p = EndpointPhase::ready)
    {
        return {"b", "2.2.2.2:2", p, 0, 0, 1, {}};
    }
    static ListedEndpoint a(EndpointPhase p, const char* endpoint = "1.1.1.1:1")
    {
        return {"a", endpoint, p, 0, 0, 1, {}};
    }

    std::unique_ptr<Reducer> reducer;
    Point now{1'000'000'000};
    AttemptId last = 0;
    bool quiet = false;
    uint32_t edition = 0;  // of the settings that requests are decoded with

  private:
    ServiceConfig setup_;
    uint64_t woken_ = 0;
};

}  // namespace

int main()
{
    {
        Play p("served; a late word of the same attempt is nothing", Idempotency::idempotent);
        p.arrive(), p.connected(), p.answered(200), p.answered(200),
            p.failed(AttemptProgress::written, FailureCause::broken);
    }
    for (const bool safe : {true, false}) {
        const auto repeat = safe ? Idempotency::idempotent : Idempotency::non_idempotent;
        const std::string of = safe ? ", idempotent" : ", non-idempotent";
        const auto play = [&](const char* what, auto how) {
            Play p((what + of).c_str(), repeat);
            p.arrive(), p.connected(), how(p);
        };
        play("a bare 503 proves nothing", [](Play& p) { p.answered(503); });
        play("declined: it never ran", [](Play& p) { p.answered(503, true); });
        play("a 400 finds fault with the request", [](Play& p) { p.answered(400); });
        play("a 500 may have run", [](Play& p) { p.answered(500); });
        play("broken after the last byte",
             [](Play& p) { p.failed(AttemptProgress::written, FailureCause::broken); });
        play("broken within the answer",
             [](Play& p) { p.failed(AttemptProgress::answering, FailureCause::broken); });
        play("an unreadable answer",
             [](Play& p) { p.failed(AttemptProgress::answering, FailureCause::malformed); });
        play("broken before the last byte",
             [](Play& p) { p.failed(AttemptProgress::partly_written, FailureCause::broken); });
        play("time is up before the last byte",
             [](Play& p) { p.failed(AttemptProgress::partly_written, FailureCause::no_answer_in_time); });
        play("time is up after it",
             [](Play& p) { p.failed(AttemptProgress::written, FailureCause::no_answer_in_time); });
        play("no descriptor left",
             [](Play& p) { p.failed(AttemptProgress::not_connected, FailureCause::no_descriptor); });
    }
    {
        Play p("drained while the connection was being made: not a byte goes out",
               Idempotency::non_idempotent);
        p.arrive(), p.list(false, {Play::a(EndpointPhase::draining), Play::b()}), p.connected(),
            p.connected();
    }
    {
        Play p("a whole list without it: the same", Idempotency::non_idempotent);
        p.arrive(), p.list(true, {Play::b()}), p.connected();
    }
    {
        Play p("moved while the connection was being made", Idempotency::non_idempotent);
        p.arrive(), p.list(false, {Play::a(EndpointPhase::ready, "3.3.3.3:3")}), p.connected(), p.connected();
    }
    {
        Play p("the caller leaves while the connection is being made", Idempotency::idempotent);
        p.arrive(), p.tell(DownstreamDisconnected{1}), p.connected(), p.tell(DownstreamDisconnected{1});
        std::printf("%zu in flight\n", p.reducer->in_flight());
    }
    {
        Play p("the caller leaves, and the answer comes all the same", Idempotency::non_idempotent);
        p.arrive(), p.connected(), p.tell(DownstreamDisconnected{1}), p.answered(200);
        std::printf("%zu in flight\n", p.reducer->in_flight());
    }
    {
        Play p("time is up before the connection is there", Idempotency::non_idempotent);
        p.arrive(), p.now = p.now + seconds(3), p.connected();
    }
    {
        // What is out goes on; nothing begins later, for it may have gone.
        Play p("a caller closes its sending side, and its forward fails later", Idempotency::idempotent);
        p.list(false, {Play::b()});
        p.arrive(), p.connected(), p.tell(DownstreamHalfClosed{1}), p.now = p.now + seconds(0.1);
        p.answered(503, true);
    }
    {
        Play p("a caller closes its sending side, and the connection comes late", Idempotency::idempotent);
        p.arrive(), p.tell(DownstreamHalfClosed{1}), p.now = p.now + seconds(0.1), p.connected();
    }
    {
        Play p("a list tells of a drain while the request waits to leave", Idempotency::non_idempotent);
        p.list(false, {Play::b()});
        p.arrive(), p.connected();
        p.list(false, {Play::a(EndpointPhase::draining), Play::b(EndpointPhase::draining)});
        p.failed(AttemptProgress::partly_written, FailureCause::withdrawn);
    }
    for (const double late : {0.1, 2.5}) {
        // Recognised as a repeat for 2 s: the gate looks again when the connection is there.
        Play p(
            late < 1 ? "a second forward within the window" : "its connection comes when the window is over",
            Idempotency::deduplicated);
        p.list(false, {Play::b()});
        p.arrive(1, nullptr, seconds(6)), p.connected(),
            p.failed(AttemptProgress::written, FailureCause::broken);
        p.now = p.now + seconds(late), p.connected();
    }
    for (const auto waits : {seconds(0.5), seconds(2), seconds(8)}) {
        Play p("stopping, by how long clients wait", Idempotency::idempotent, false, waits);
        p.margin(seconds(0.2));
        std::printf("%.1f s: answers for %.1f s\n", waits.seconds(), p.reducer->answers_for().seconds());
        p.tell(ShutdownStarted{});
        for (const double after : {0.3, 0.7, 1.9})
            std::printf("%.1f s after: callers are %s\n", after,
                        p.reducer->turns_out(p.now + seconds(after)) ? "turned out" : "served");
        p.now = p.now + seconds(0.5), p.arrive(1, nullptr, seconds(8));
    }
    {
        Play p("stopping", Idempotency::idempotent);
        p.arrive(), p.connected(), p.tell(ShutdownStarted{}), p.answered(200);
        // Served on for a while, in time before the process may be killed; then each answer is the last.
        p.now = p.now + seconds(1.9), p.arrive(2), p.now = p.now + seconds(0.2), p.connected(),
        p.answered(200);
        std::printf("%s\n", p.reducer->ready() ? "ready" : "not ready");
    }
    {
        Play p("probes of what is in use", Idempotency::idempotent, true);
        p.arrive(), p.connected(), p.answered(200), p.wake(), p.connected(), p.answered(200);
    }
    {
        // Guards against a restarted watch where nothing moved, and against losing the list where it does.
        Play p("the configuration is read again, the second time with another discovery",
               Idempotency::idempotent);
        p.tell(ConfigReloaded{"here:1", {}}), p.tell(ConfigReloaded{"there:1", {}}), p.arrive(),
            p.connected(), p.answered(200);
    }
    {
        // Guards against a request that was read under other settings being taken for another operation.
        Play p("new settings: its operation has another place, then none", Idempotency::non_idempotent);
        ServiceConfig next = setup(Idempotency::non_idempotent);
        next.operations = {"other", "op"};
        next.settings.operations.insert(next.settings.operations.begin(), Stage::op(Idempotency::idempotent));
        p.arrive(1), p.connected(), p.tell(ConfigReloaded{"here:1", next}), p.arrive(2), p.connected();
        p.failed(AttemptProgress::written, FailureCause::broken);
        next.operations = {"other", "third"};
        p.tell(ConfigReloaded{"here:1", next}), p.arrive(3);
    }
    {
        // Guards against an id that is taken twice: only once it is answered, or its caller gone, is it free.
        Play p("the id of a request that is open", Idempotency::non_idempotent);
        p.arrive(1, "x"), p.connected(), p.arrive(2, "x"), p.answered(200), p.arrive(3, "x"), p.connected();
        p.tell(DownstreamDisconnected{3}), p.arrive(4, "x");
    }
    {
        // Guards against growing with every upstream that ever was, and against a place that is given away
        // while an invocation still counts on what was in it.
        Play p("a thousand upstreams, one after the other; an invocation stays open at the first",
               Idempotency::non_idempotent);
        p.arrive(1), p.connected();
        std::fflush(stdout);
        p.quiet = true;
        for (int i = 0; i < 1000; ++i) {
            const auto name = [](int n) { return n < 0 ? "a" : "u" + std::to_string(n); };
            p.list(false, {{name(i - 1), "x", EndpointPhase::gone, 0, 0, 1, {}},
                           {name(i), "1.1.1.1:" + std::to_string(i), EndpointPhase::ready, 0, 0, 1, {}}});
            p.arrive(2), p.connected(), p.answered(200);
        }
        p.quiet = false;
        std::printf("%zu places\n", p.reducer->places());
        p.arrive(3), p.connected(), p.answered(200);
    }
    {
        Play p("a whole list with a new upstream before a known one: nothing is closed",
               Idempotency::idempotent);
        p.list(true, {Play::b(), Play::a(EndpointPhase::ready)});
        std::printf("%zu places\n", p.reducer->places());
    }
    {
        Play p("the lifecycle: drain twice, resume, resume again, and once it stops",
               Idempotency::idempotent);
        AdminConnectionId id = 0;
        for (const auto order :
             {AdminCommand::ready, AdminCommand::drain, AdminCommand::drain, AdminCommand::ready,
              AdminCommand::resume, AdminCommand::resume, AdminCommand::ready, AdminCommand::drain})
            p.tell(AdminCommandReceived{++id, order});
        // Read again while drained: still drained.
        p.tell(ConfigReloaded{"there:1", {}}), p.tell(AdminCommandReceived{++id, AdminCommand::ready});
        p.arrive(1), p.connected(), p.answered(200);
        p.now = p.now + seconds(0.5), p.arrive(2), p.connected(), p.answered(200);
        p.tell(ShutdownStarted{}), p.tell(AdminCommandReceived{++id, AdminCommand::resume}),
            p.tell(AdminCommandReceived{++id, AdminCommand::ready});
    }
    {
        Play p("a large answer: its upstream is held while the caller takes nothing",
               Idempotency::non_idempotent);
        p.arrive(), p.connected(), p.begins_answer(), p.figures();
        for (int i = 0; i < 5; ++i) p.comes(20000, false);
        p.tell(ResponseDrained{1}), p.comes(20000, true), p.figures(), p.tell(ResponseDrained{1});
    }
    {
        Play p("it breaks in the middle: nothing else follows", Idempotency::idempotent);
        p.arrive(), p.connected(), p.begins_answer(),
            p.failed(AttemptProgress::answering, FailureCause::broken);
        p.answered(200);
    }
    {
        Play p("its caller leaves in the middle", Idempotency::idempotent);
        p.arrive(), p.connected(), p.begins_answer(), p.tell(DownstreamDisconnected{1}), p.comes(10, true);
    }
    {
        Play p("a large error, and a large answer to a caller who has left", Idempotency::non_idempotent);
        p.arrive(), p.connected(), p.begins_answer(500);
        p.arrive(2), p.connected(), p.tell(DownstreamDisconnected{2}), p.begins_answer();
    }
    {
        Play p("a large request: its time begins with its last byte", Idempotency::non_idempotent);
        p.begin(1), p.connected(), p.tell(RequestWritten{p.last}), p.now = p.now + seconds(30);
        p.bring(1, 40000, false), p.bring(1, 40000, false), p.tell(RequestWritten{p.last});
        p.bring(1, 10, true), p.tell(RequestWritten{p.last}), p.figures(), p.answered(200);
    }
    {
        Play p("it breaks while all that has gone is held: forwarded again", Idempotency::non_idempotent);
        p.begin(1), p.connected(), p.failed(AttemptProgress::partly_written, FailureCause::broken),
            p.connected();
        p.tell(RequestWritten{p.last}), p.bring(1, 10, true), p.answered(200);
    }
    {
        Play p("it breaks later: nothing ran, and a retry is safe", Idempotency::non_idempotent);
        p.begin(1), p.connected(), p.tell(RequestWritten{p.last}), p.bring(1, 10, false);
        p.failed(AttemptProgress::partly_written, FailureCause::broken);
    }
    {
        Play p("it was sent whole, and breaks: it may have run, and cannot be sent again",
               Idempotency::idempotent);
        p.begin(1), p.connected(), p.tell(RequestWritten{p.last}), p.bring(1, 10, true);
        p.failed(AttemptProgress::written, FailureCause::broken);
    }
    {
        Play p("its caller stops half way", Idempotency::non_idempotent);
        p.begin(1), p.connected(), p.tell(RequestWritten{p.last}), p.bring(1, 10, false),
            p.tell(DownstreamDisconnected{1});
    }
    {
        Play p("no upstream at all", Idempotency::idempotent);
        p.list(true, {}), p.arrive();
    }
}
