// The ids of requests that are open and of those that may have run, in memory that several processes of one
// balancer can share. Lock-free: a process that is stopped or killed at any moment holds up no other, and
// leaves nothing half written. No I/O.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace firtide::net
{

// Of the ids that may have run, at least the last `min_recent_ids` are known, and at most twice as many.
inline constexpr size_t min_recent_ids = 8192;
// Of the claims of open requests, which are renewed for as long as they are open.
inline constexpr size_t min_open_claims = 4096;

// A process that uses the table, from 1 to max_request_id_owners.
using RequestIdOwner = uint32_t;
inline constexpr RequestIdOwner max_request_id_owners = 14;

// What an entry says of its id; those from 1 on have the meaning that the user of the set gives them.
using RequestIdState = uint32_t;
inline constexpr RequestIdState released_id = 0;  // as if the id had never been added
inline constexpr RequestIdState max_id_state = 15;
static_assert(max_request_id_owners <= max_id_state);

// A set that forgets its oldest entries. Entries are added to the current generation; when that is full, it
// becomes the previous one, whose memory the next generation takes over. Of an id only a hash is kept.
//
// All bits zero is a valid, empty set. An entry stays at its slot for the time of its generation, so that one
// compare-and-exchange at that slot decides between two processes that add the same hash.
template <size_t entries_per_generation>
class GenerationalIdSet
{
  public:
    using State = RequestIdState;
    using Blocks = std::function<bool(State)>;  // whether an entry of this state keeps others from the id

    // Sets the state of an id unless an entry of it blocks that. Returns whether the state is set and no
    // other process can have set another one; if not, the caller releases what it may have set.
    bool claim(uint64_t hash, State state, const Blocks& blocks);
    // Undoes claim(), whatever its result, if the state is still the same.
    void release(uint64_t hash, State state);
    // Releases all entries of this state.
    void release_all(State state);
    bool contains(uint64_t hash, State state) const;
    // Of both generations, approximately.
    size_t size() const;
    // Changes whenever a generation ends. An entry of generation N is forgotten when N + 2 begins.
    uint32_t generation() const;

  private:
    static constexpr size_t slot_count = 2 * entries_per_generation;
    using Word = uint64_t;
    using Slots = std::array<std::atomic<Word>, slot_count>;
    enum class Placement { placed, blocked, outdated };

    Slots& slots_of(uint32_t generation) { return generations_[generation % 2]; }
    const Slots& slots_of(uint32_t generation) const { return generations_[generation % 2]; }
    // The state of the id in this generation, and where it is.
    std::optional<State> find(uint32_t generation, uint64_t hash, size_t& slot) const;
    Placement place(uint32_t generation, uint64_t hash, State state, const Blocks& blocks);
    uint32_t begin_generation_if_full();
    void count_entry(uint32_t generation);

    // The number of the current generation in the upper half, of its entries in the lower one.
    std::atomic<uint64_t> position_;
    std::array<Slots, 2> generations_;
};

// The layout that the processes share. Its version changes with any change of a member or its meaning.
struct RequestIdTable {
    static constexpr uint64_t expected_magic = 0x7364692d71657266u;  // "freq-ids"
    static constexpr uint32_t expected_version = 1;

    uint64_t magic;
    uint32_t version;
    uint32_t byte_size;
    uint64_t table_id;  // tells tables apart
    // Of the hash; clients must not know it, or they could choose ids that collide.
    uint64_t hash_key;
    GenerationalIdSet<min_open_claims> open;  // states: the owner of the request
    GenerationalIdSet<min_recent_ids> may_have_run;

    void initialize(uint64_t id, uint64_t key);
    bool has_known_layout() const;
    uint64_t hash_of(std::string_view request_id) const;
};
static_assert(std::atomic<uint64_t>::is_always_lock_free, "a lock would not work between processes");

}  // namespace firtide::net
