#include "request_id_registry.h"

#include <utility>

namespace firtide::net
{
namespace
{

constexpr RequestIdState may_have_run = 1;

}  // namespace

RequestIdRegistry::RequestIdRegistry(uint64_t hash_key)
    : own_table_(std::make_unique<RequestIdTable>()),
      table_(own_table_.get()),
      is_running_([](RequestIdOwner) { return false; }),
      renewed_in_generation_(table_->open.generation())
{
    table_->initialize(0, hash_key);
}

RequestIdRegistry::RequestIdRegistry(RequestIdTable& table, RequestIdOwner self, IsRunning is_running)
    : table_(&table),
      self_(self),
      is_running_(std::move(is_running)),
      renewed_in_generation_(table.open.generation())
{
}

// Of an id whose request another process closes meanwhile, it is seen that it was open or that it has run:
// the claim comes between the two looks at what has run.
IdClaim RequestIdRegistry::claim(const std::string& id, bool may_run_twice)
{
    const uint64_t hash = table_->hash_of(id);
    if (!may_run_twice && has_run(hash)) return IdClaim::was_used;
    if (open_here_.count(id) > 0 || !claim_open(hash)) return IdClaim::is_open;
    open_here_.insert(id);
    renew_open_claims();
    if (may_run_twice || !has_run(hash)) return IdClaim::claimed;
    close(id);
    return IdClaim::was_used;
}

bool RequestIdRegistry::claim_open(uint64_t hash)
{
    const auto is_open_elsewhere = [this](RequestIdOwner owner) {
        return owner != self_ && is_running_(owner);
    };
    if (table_->open.claim(hash, self_, is_open_elsewhere)) return true;
    table_->open.release(hash, self_);
    return false;
}

bool RequestIdRegistry::has_run(uint64_t hash) const
{
    return table_->may_have_run.contains(hash, may_have_run);
}

bool RequestIdRegistry::record_run(std::string_view id)
{
    return table_->may_have_run.claim(table_->hash_of(id), may_have_run, [](RequestIdState) { return true; });
}

void RequestIdRegistry::close(const std::string& id)
{
    if (open_here_.erase(id) > 0) table_->open.release(table_->hash_of(id), self_);
}

void RequestIdRegistry::renew_open_claims()
{
    const uint32_t generation = table_->open.generation();
    if (std::exchange(renewed_in_generation_, generation) == generation) return;
    for (const std::string& id : open_here_) claim_open(table_->hash_of(id));
}

}  // namespace firtide::net
