// The client of the discovery service: fetches the full list of upstreams, then watches it without gaps.
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

// Returns nullopt if the text is not a list. `epoch`: the loop's time at Unix time zero.
std::optional<EndpointList> decode_list(const std::string& text, TimePoint epoch);

// Applies a list, full or changes only, to the entries, which are JSON texts by uid.
void apply_list_update(std::map<std::string, std::string>& entries, const std::string& text);
std::string encode_full_list(uint64_t version, const std::map<std::string, std::string>& entries);

// Throws ConfigException if the configuration has a known list that is invalid. The service itself
// ignores an invalid list and starts without one.
void check_known_list(const Config& config);

class Discovery
{
  public:
    // epoch: the loop's time at Unix time zero.
    Discovery(event_base* base, const Config& config, TimePoint epoch, std::function<void(Event)> post_event);

    // Reports lists here from now on instead of as events: as the text of a full list, with changes
    // applied.
    using ListCallback = std::function<void(uint64_t version, std::string text)>;
    void set_list_callback(ListCallback callback) { list_callback_ = std::move(callback); }

    // The same, as entries. `uids`: the entries that may differ from the last report; nullopt: any of them.
    using Entries = std::map<std::string, std::string>;  // JSON text by uid
    using EntriesCallback = std::function<void(uint64_t version, std::shared_ptr<const Entries> entries,
                                               std::optional<std::vector<std::string>> uids)>;
    void set_entries_callback(EntriesCallback callback) { entries_callback_ = std::move(callback); }

    void stop_polling();              // sends no requests until start_polling()
    void change_address(Address to);  // polls there from now on, starting with the full list
    // Fetches the full list, then watches it. After a failure it retries, except where the decision module
    // says when to ask again.
    void start_polling();
    // The first request asks for changes since this version, that of a list which this process was given.
    void resume_from(uint64_t version);

  private:
    // A request in flight, or a connection that the next request may reuse.
    struct ListRequest {
        Discovery* owner = nullptr;
        std::unique_ptr<evhttp_connection, FreeWith<evhttp_connection_free>> connection;
        EventPtr overdue_timer, timeout_timer;
        bool in_flight = false, abandoned = false;
        TimePoint sent_at;
        std::optional<uint64_t> known_version;  // that it asked for changes since; nullopt: for the full list
    };

    bool lists_are_pushed() const;
    void send_request();
    void on_overdue(const ListRequest& request);
    void on_timeout(ListRequest& request);
    void on_response(ListRequest& request, evhttp_request* response);
    void on_failure(ListRequest& request, const char* why);
    // For the log: what the request asked for, and for how long it has been in flight.
    static std::string describe(const ListRequest& request);
    void schedule_request(Duration delay);
    void abandon_requests();
    bool has_list_callback() const { return list_callback_ || entries_callback_; }
    void report_list(const EndpointList& list, const std::string& text);
    template <auto then>
    EventPtr make_timer(ListRequest& request, Duration wait);

    event_base* base_;
    const Config& config_;
    Address address_;
    TimePoint epoch_;
    std::function<void(Event)> post_event_;
    ListCallback list_callback_;
    EntriesCallback entries_callback_;
    std::shared_ptr<Entries> entries_ = std::make_shared<Entries>();  // the current entries, for full lists
    std::list<ListRequest> requests_;
    std::list<ListRequest> abandoned_requests_;  // freed later: a request cannot be freed in its own callback
    EventPtr next_request_timer_;
    // The next request asks for changes since this version; nullopt: for the full list.
    std::optional<uint64_t> version_;
    bool resuming_ = false;          // the next request asks for missed changes, with a short watch
    bool version_restored_ = false;  // version_ is of a list from before this start of the program
    uint64_t newest_version_ = 0;    // highest version that this agent has sent
    bool paused_ = true;             // not started yet, or another balancer polls
    bool polling_ = false;
    bool healthy_ = true;
    Duration retry_delay_;
};

}  // namespace firtide::net
