// The table of request ids in memory that the processes of a hot restart share. It belongs to none of them:
// it lives for as long as one of them runs, however each of them ends.
//
// The memory has no file that could be truncated, left over or run out of space, and its size is sealed: no
// access to it can fail. A process finds it through a line that the other one has published in the shared
// folder.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hot_restart.h"
#include "request_id_table.h"

namespace firtide::net
{

// Where a process has the table: "firtide-request-ids 1 PROCESS DESCRIPTOR TABLE", the table in hexadecimal,
// and a newline.
struct RequestIdPublication {
    pid_t process = 0;
    int descriptor = -1;
    uint64_t table_id = 0;
};
std::string encode_publication(const RequestIdPublication& publication);
// Nothing for any other text, also for one that is cut off or of another version.
std::optional<RequestIdPublication> decode_publication(std::string_view text);

class SharedRequestIds
{
  public:
    // Unset if the memory is not to be had, or all numbers of owners are taken.
    static std::unique_ptr<SharedRequestIds> create();
    // The table of a running process. Unset if it cannot be reached or is no table of this version.
    static std::unique_ptr<SharedRequestIds> adopt(const RequestIdPublication& publication);

    ~SharedRequestIds();
    SharedRequestIds(const SharedRequestIds&) = delete;
    SharedRequestIds& operator=(const SharedRequestIds&) = delete;

    RequestIdTable& table() { return *table_; }
    RequestIdOwner self() const { return self_; }
    // A process whose state cannot be determined counts as running.
    bool is_running(RequestIdOwner owner) const;
    RequestIdPublication publication() const;

  private:
    SharedRequestIds(Descriptor descriptor, RequestIdTable* table);
    bool take_owner_number();

    Descriptor descriptor_;
    RequestIdTable* table_;
    RequestIdOwner self_ = 0;
};

// Takes part in the table of the other processes of this balancer, or creates and publishes one. Failures are
// tried again for up to `patience`; then the log says why the processes may not share a table. Unset: there
// is none at all.
std::unique_ptr<SharedRequestIds> join_request_ids(HotRestart& hot_restart,
                                                   std::chrono::milliseconds patience);

// Whether another process of this balancer runs that does not use this table.
bool has_strangers(const HotRestart& hot_restart, uint64_t table_id);

}  // namespace firtide::net
