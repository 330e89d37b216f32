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
constexpr uint32_t max_batch_bytes = 1u << 30;

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
    const Writer& process_batch(TimePoint now, uint32_t records, std::string_view body)
    {
        out_.clear();
        Reader in(body);
        for (uint32_t i = 0; i < records; ++i) process_event(now, in);
        if (!in.at_end()) throw MalformedInput("a batch is longer than its records");
        return out_;
    }

  private:
    void process_event(TimePoint now, Reader& in)
    {
        const EventCode code{in.read<uint8_t>()};
        if (code == EventCode::list_defined) return read_endpoint_list(in);
        const auto instance_id = in.read<uint16_t>();
        if (code == EventCode::instance_started) {
            const auto seed = in.read<uint64_t>();
            const auto settings = in.read_bytes(in.read<uint32_t>());
            if (instance_id >= instances_.size()) instances_.resize(instance_id + size_t{1});
            auto& slot = instances_[instance_id];
            slot = std::make_unique<Instance>(instance_id, seed, settings, out_);
            return slot->start(now);
        }
        if (instance_id >= instances_.size() || !instances_[instance_id])
            throw MalformedInput("an event for an unknown instance");
        Instance& instance = *instances_[instance_id];
        switch (code) {
            case EventCode::instance_stopped: instances_[instance_id].reset(); return;
            case EventCode::invocation_arrived: instance.on_invocation(now, in); return;
            case EventCode::probe_completed: instance.on_probe_completed(now, in); return;
            case EventCode::stream_started: in.read_bytes(14); return;  // unused
            case EventCode::timer_fired: instance.on_timer_fired(now, in); return;
            case EventCode::client_disconnected: instance.on_client_disconnected(now, in); return;
            case EventCode::list_delivered: return deliver_endpoint_list(now, in, instance);
            case EventCode::forward_ended: instance.on_forward_ended(now, in); return;
            case EventCode::peer_message_received: instance.on_peer_message(now, in); return;
            case EventCode::instance_started:
            case EventCode::list_defined: break;  // handled above
        }
        throw MalformedInput("unknown event code " + std::to_string(static_cast<unsigned>(code)));
    }

    void read_endpoint_list(Reader& in)
    {
        const auto list_number = in.read<uint32_t>();
        const auto count = in.read<uint32_t>();
        auto& list = endpoint_lists_.at(list_number < endpoint_lists_.size()
                                            ? list_number
                                            : throw MalformedInput("a list's number is too high"));
        list.clear();
        for (uint32_t i = 0; i < count; ++i) {
            EndpointEntry entry{};
            entry.upstream_id = in.read<uint32_t>();
            entry.zone = in.read<uint8_t>();
            entry.machine_type = in.read<uint16_t>();
            entry.pod_group = in.read<uint16_t>();
            entry.phase = in.read<uint8_t>();
            entry.nominal_capacity = in.read<float>();
            entry.started_at = in.read<uint64_t>();
            list.push_back(entry);
        }
    }

    void deliver_endpoint_list(TimePoint now, Reader& in, Instance& instance)
    {
        const auto scope = in.read<uint8_t>();
        in.read<uint32_t>();  // version: unused
        const auto list_number = in.read<uint32_t>();
        if (scope != ListScope::fetch_failed && list_number >= endpoint_lists_.size())
            throw MalformedInput("a list's number is too high");
        instance.on_endpoint_list(
            now, scope, scope == ListScope::fetch_failed ? endpoint_lists_[0] : endpoint_lists_[list_number]);
    }

    Writer out_;
    std::vector<std::vector<EndpointEntry>> endpoint_lists_{16};
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
        if (got < header_bytes) throw MalformedInput("the input ends within a header");
        Reader in({header, header_bytes});
        const auto records = in.read<uint32_t>();
        const auto length = in.read<uint32_t>();
        const TimePoint now{static_cast<int64_t>(in.read<uint64_t>())};
        if (length > max_batch_bytes) throw MalformedInput("a batch is too long");
        body.resize(length);
        if (std::fread(body.data(), 1, length, stdin) < length)
            throw MalformedInput("the input ends within a batch");
        const Writer& out = host.process_batch(now, records, body);
        const uint32_t head[2] = {out.record_count(), static_cast<uint32_t>(out.bytes().size())};
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
