// firtide-simulator-adapter: runs many independent Balancers behind the simulator's protocol. Reads batches
// of events from standard input, writes one batch of actions for each to standard output, and exits at the
// end of the input.
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "instance.h"

namespace firtide::simulator_adapter
{
namespace
{

constexpr size_t header_bytes = 16;
constexpr uint32_t most_bytes = 1u << 30;

enum class EventCode : uint8_t {
    instance_started = 16,
    instance_stopped = 17,
    invocation_arrived = 18,
    probe_completed = 19,
    stream_started = 20,
    timer_fired = 21,
    list_defined = 22,
    client_disconnected = 23,
    list_delivered = 24,
    forward_ended = 25,
    peer_message_received = 26
};

class Host
{
  public:
    const Writer& batch(TimePoint now, uint32_t records, std::string_view body)
    {
        out_.clear();
        Reader in(body);
        for (uint32_t i = 0; i < records; ++i) event(now, in);
        if (!in.at_end()) throw Malformed("a batch is longer than its records");
        return out_;
    }

  private:
    void event(TimePoint now, Reader& in)
    {
        const EventCode code{in.get<uint8_t>()};
        if (code == EventCode::list_defined) return ledger(in);
        const auto name = in.get<uint16_t>();
        if (code == EventCode::instance_started) {
            const auto seed = in.get<uint64_t>();
            const auto setup = in.take(in.get<uint32_t>());
            if (name >= instances_.size()) instances_.resize(name + size_t{1});
            auto& at = instances_[name];
            at = std::make_unique<Instance>(name, seed, setup, out_);
            return at->begin(now);
        }
        if (name >= instances_.size() || !instances_[name])
            throw Malformed("an event for an unknown instance");
        Instance& instance = *instances_[name];
        switch (code) {
            case EventCode::instance_stopped: instances_[name].reset(); return;
            case EventCode::invocation_arrived: instance.demand(now, in); return;
            case EventCode::probe_completed: instance.probed(now, in); return;
            case EventCode::stream_started: in.take(14); return;  // unused
            case EventCode::timer_fired: instance.wakeup(now, in); return;
            case EventCode::client_disconnected: instance.gone(now, in); return;
            case EventCode::list_delivered: return roster(now, in, instance);
            case EventCode::forward_ended: instance.reply(now, in); return;
            case EventCode::peer_message_received: instance.told(now, in); return;
            case EventCode::instance_started:
            case EventCode::list_defined: break;  // handled above
        }
        throw Malformed("unknown event code " + std::to_string(static_cast<unsigned>(code)));
    }

    void ledger(Reader& in)
    {
        const auto number = in.get<uint32_t>();
        const auto n = in.get<uint32_t>();
        auto& list =
            ledgers_.at(number < ledgers_.size() ? number : throw Malformed("a list's number is too high"));
        list.clear();
        for (uint32_t i = 0; i < n; ++i) {
            Entry e{};
            e.upstream = in.get<uint32_t>();
            e.zone = in.get<uint8_t>();
            e.kind = in.get<uint16_t>();
            e.cell = in.get<uint16_t>();
            e.state = in.get<uint8_t>();
            e.nominal = in.get<float>();
            e.ready_at = in.get<uint64_t>();
            list.push_back(e);
        }
    }

    void roster(TimePoint now, Reader& in, Instance& instance)
    {
        const auto scope = in.get<uint8_t>();
        in.get<uint32_t>();  // version: unused
        const auto number = in.get<uint32_t>();
        if (scope != ListScope::fetch_failed && number >= ledgers_.size())
            throw Malformed("a list's number is too high");
        instance.roster(now, scope, scope == ListScope::fetch_failed ? ledgers_[0] : ledgers_[number]);
    }

    Writer out_;
    std::vector<std::vector<Entry>> ledgers_{16};
    std::vector<std::unique_ptr<Instance>> instances_;  // by the simulator's instance id
};

int run()
{
    Host host;
    std::string body;
    for (;;) {
        char header[header_bytes];
        const auto got = std::fread(header, 1, header_bytes, stdin);
        if (got == 0) return 0;
        if (got < header_bytes) throw Malformed("the input ends within a header");
        Reader in({header, header_bytes});
        const auto records = in.get<uint32_t>();
        const auto length = in.get<uint32_t>();
        const TimePoint now{static_cast<int64_t>(in.get<uint64_t>())};
        if (length > most_bytes) throw Malformed("a batch is too long");
        body.resize(length);
        if (std::fread(body.data(), 1, length, stdin) < length)
            throw Malformed("the input ends within a batch");
        const Writer& out = host.batch(now, records, body);
        const uint32_t head[2] = {out.records(), static_cast<uint32_t>(out.bytes().size())};
        if (std::fwrite(head, 1, sizeof head, stdout) < sizeof head ||
            std::fwrite(out.bytes().data(), 1, out.bytes().size(), stdout) < out.bytes().size() ||
            std::fflush(stdout) != 0)
            throw std::runtime_error("standard output is closed");
    }
}

}  // namespace
}  // namespace firtide::simulator_adapter

int main()
{
    try {
        return firtide::simulator_adapter::run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "firtide-simulator-adapter: %s\n", e.what());
        return 1;
    }
}
