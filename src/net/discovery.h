// Follows the list of upstreams: the whole list first, then a watch that goes on without gaps.
#pragma once

#include <event2/http.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config.h"
#include "src/io/event.h"

namespace firtide::net
{

struct EndpointList {
    uint64_t version = 0;
    EndpointListUpdated update;
};

// Nullopt where the text is no list.
std::optional<EndpointList> decode_list(const ServiceConfig& setup, const std::string& text, TimePoint epoch);

// Takes a list, whole or changes, into the lines of what there is, by uid.
void apply_list_update(std::map<std::string, std::string>& lines, const std::string& text);
std::string encode_full_list(uint64_t version, const std::map<std::string, std::string>& lines);

// Throws BadConfig where the list that the configuration brings is none. A service starts without it all the
// same.
void check_known_list(const Config& config);

class Discovery
{
  public:
    // epoch: the loop's time at Unix time zero.
    Discovery(event_base* base, const Config& config, TimePoint epoch, std::function<void(Event)> tell);

    // From now on lists are told here instead, as the text of whole ones, changes taken in.
    using ListCallback = std::function<void(uint64_t version, std::string text)>;
    void set_list_callback(ListCallback whole) { whole_ = std::move(whole); }

    // The same as entries. `uids`: all that can differ from the last one told; nothing: any.
    using Entries = std::map<std::string, std::string>;  // by uid
    using EntriesCallback = std::function<void(uint64_t version, std::shared_ptr<const Entries> lines,
                                               std::optional<std::vector<std::string>> uids)>;
    void set_entries_callback(EntriesCallback tell) { tell_lines_ = std::move(tell); }

    void stop_polling();              // asks nothing until ask()
    void change_address(Address to);  // asks there from now on, for the whole list first
    void start_polling();
    // The first call asks for what changed since this version: that of a list which this process was given.
    void resume_from(uint64_t version);  // the whole list, and then watches it; asks anew after failures,
                                         // where that is its own job

  private:
    // One call, or a connection that the next one may use.
    struct Call {
        Discovery* owner = nullptr;
        std::unique_ptr<evhttp_connection, FreeWith<evhttp_connection_free>> connection;
        EventPtr overdue, until;
        bool out = false, dropped = false;
    };

    bool is_pushed() const;
    void call();
    void overdue(const Call& call);
    void late(Call& call);
    void came(Call& call, evhttp_request* request);
    void failed(Call& call, const char* why);
    void call_in(Duration pause);
    void drop_all();
    bool told_elsewhere() const { return whole_ || tell_lines_; }
    void tell_fleet(const EndpointList& list, const std::string& text);
    template <auto then>
    EventPtr timer(Call& call, Duration wait);

    event_base* base_;
    const Config& config_;
    Address address_;
    TimePoint epoch_;
    std::function<void(Event)> tell_;
    ListCallback whole_;
    EntriesCallback tell_lines_;
    std::shared_ptr<Entries> lines_ = std::make_shared<Entries>();  // what a whole list is made of
    std::list<Call> calls_;
    std::list<Call> dropped_;  // to be freed outside of their own callbacks
    EventPtr again_;
    std::optional<uint64_t>
        version_;              // the next call asks for what came after it; nothing: for the whole list
    bool resuming_ = false;    // the next call asks for what was missed, by a short watch
    bool remembered_ = false;  // version_ is of a list from before this start
    uint64_t newest_ = 0;      // that this agent told
    bool resting_ = true;      // until it is to ask for the first time, or while another balancer asks
    bool asking_ = false;
    bool well_ = true;
    Duration pause_;
};

}  // namespace firtide::net
