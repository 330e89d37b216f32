// Keeps a request's id from being used twice: while its request is open, and after it may have run. With a
// table that both processes of an upgrade use, an id counts whichever of them it comes to.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "request_id_table.h"

namespace firtide::net
{

enum class IdClaim { claimed, is_open, was_used };

class RequestIdRegistry
{
  public:
    // Whether the process with this number still runs.
    using IsRunning = std::function<bool(RequestIdOwner)>;

    // With a table of its own, which no other process sees. hash_key: clients must not know it.
    explicit RequestIdRegistry(uint64_t hash_key);
    // With a table that outlives it, as the process with this number.
    RequestIdRegistry(RequestIdTable& table, RequestIdOwner self, IsRunning is_running);

    // To be called when a request has been received, before anything else is done for it. An id whose request
    // may run twice is free again once that is closed.
    IdClaim claim(const std::string& id, bool may_run_twice);
    // Keeps an id that must not run twice for good. To be called before the first byte of the request is
    // sent. Returns false if another process has done so before: then nothing may be sent.
    bool record_run(std::string_view id);
    // The request of a claimed id has ended.
    void close(const std::string& id);
    // Renews the claims of open requests before the table forgets them. To be called several times a second.
    void renew_open_claims();

    size_t open_count() const { return open_here_.size(); }
    size_t may_have_run_count() const { return table_->may_have_run.size(); }

  private:
    bool claim_open(uint64_t hash);
    bool has_run(uint64_t hash) const;

    std::unique_ptr<RequestIdTable> own_table_;
    RequestIdTable* table_;
    RequestIdOwner self_ = 1;
    IsRunning is_running_;
    std::unordered_set<std::string> open_here_;  // requests of this process
    uint32_t renewed_in_generation_;
};

}  // namespace firtide::net
