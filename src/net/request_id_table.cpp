#include "request_id_table.h"

#include <xxhash.h>

namespace firtide::net
{
namespace
{

// A slot's word: the generation's number, the state, and the hash, from the highest bits down. A slot whose
// word has another generation's number is free.
constexpr uint64_t state_bits = 4, hash_bits = 48;
constexpr uint64_t generation_shift = hash_bits + state_bits;
constexpr uint32_t generation_numbers = 1u << (64 - generation_shift);
constexpr uint64_t hash_mask = (uint64_t{1} << hash_bits) - 1;
static_assert(max_id_state < 1u << state_bits);

// Each further round means that a whole generation has passed during the one before.
constexpr int max_claim_rounds = 8;

// Of memory that is all zero: words of zero belong to an earlier one.
constexpr uint32_t first_generation = 2;

uint32_t generation_of_word(uint64_t word) { return static_cast<uint32_t>(word >> generation_shift); }
RequestIdState state_of_word(uint64_t word)
{
    return static_cast<uint32_t>(word >> hash_bits) & max_id_state;
}
uint64_t make_word(uint32_t generation, RequestIdState state, uint64_t hash)
{
    return uint64_t{generation % generation_numbers} << generation_shift | uint64_t{state} << hash_bits |
           (hash & hash_mask);
}
bool belongs_to(uint64_t word, uint32_t generation)
{
    return generation_of_word(word) == generation % generation_numbers;
}
// Numbers wrap around: the half of them that follows is newer.
bool is_newer(uint64_t word, uint32_t generation)
{
    const uint32_t distance = (generation_of_word(word) - generation) % generation_numbers;
    return distance > 0 && distance < generation_numbers / 2;
}

uint32_t generation_at(uint64_t position) { return first_generation + static_cast<uint32_t>(position >> 32); }
uint32_t entries_at(uint64_t position) { return static_cast<uint32_t>(position); }
uint64_t position_of(uint32_t generation) { return uint64_t{generation - first_generation} << 32; }

}  // namespace

template <size_t entries>
uint32_t GenerationalIdSet<entries>::generation() const
{
    return generation_at(position_.load());
}

template <size_t entries>
size_t GenerationalIdSet<entries>::size() const
{
    const uint64_t position = position_.load();
    const bool has_previous = generation_at(position) != first_generation;
    return entries_at(position) + (has_previous ? entries : 0);
}

template <size_t entries>
uint32_t GenerationalIdSet<entries>::begin_generation_if_full()
{
    uint64_t position = position_.load();
    while (entries_at(position) >= entries) {
        const uint64_t next = position_of(generation_at(position) + 1);
        if (position_.compare_exchange_weak(position, next)) return generation_at(next);
    }
    return generation_at(position);
}

// An entry of a generation that has ended meanwhile is placed once more, and counted there.
template <size_t entries>
void GenerationalIdSet<entries>::count_entry(uint32_t generation)
{
    uint64_t position = position_.load();
    while (generation_at(position) == generation &&
           !position_.compare_exchange_weak(position, position + 1)) {
    }
}

template <size_t entries>
std::optional<RequestIdState> GenerationalIdSet<entries>::find(uint32_t generation, uint64_t hash,
                                                               size_t& slot) const
{
    const Slots& slots = slots_of(generation);
    slot = hash % slot_count;
    for (size_t probes = 0; probes < slot_count; ++probes, slot = (slot + 1) % slot_count) {
        const Word word = slots[slot].load();
        if (!belongs_to(word, generation)) return {};
        if ((word & hash_mask) == (hash & hash_mask)) return state_of_word(word);
    }
    return {};
}

template <size_t entries>
typename GenerationalIdSet<entries>::Placement GenerationalIdSet<entries>::place(uint32_t generation,
                                                                                 uint64_t hash, State state,
                                                                                 const Blocks& blocks)
{
    Slots& slots = slots_of(generation);
    const Word wanted = make_word(generation, state, hash);
    size_t slot = hash % slot_count;
    for (size_t probes = 0; probes < slot_count;) {
        Word word = slots[slot].load();
        if (is_newer(word, generation)) return Placement::outdated;
        const bool is_free = !belongs_to(word, generation);
        if (!is_free && (word & hash_mask) != (hash & hash_mask)) {
            slot = (slot + 1) % slot_count;
            ++probes;
            continue;
        }
        if (!is_free && state_of_word(word) != released_id && blocks(state_of_word(word)))
            return Placement::blocked;
        // Where the exchange fails, another process was here: the slot is looked at again.
        if (!slots[slot].compare_exchange_strong(word, wanted)) continue;
        if (is_free) count_entry(generation);
        return Placement::placed;
    }
    return Placement::blocked;
}

// An entry counts from the moment at which its generation was still the current one after it was placed:
// whoever adds the same hash to a later generation has then seen it in the previous one.
template <size_t entries>
bool GenerationalIdSet<entries>::claim(uint64_t hash, State state, const Blocks& blocks)
{
    bool has_placed = false;
    for (int round = 0; round < max_claim_rounds; ++round) {
        const uint32_t current = begin_generation_if_full();
        size_t slot = 0;
        const auto previous = has_placed ? std::nullopt : find(current - 1, hash, slot);
        if (previous && *previous != released_id && blocks(*previous)) return false;
        const Placement placement = place(current, hash, state, blocks);
        if (placement == Placement::blocked) return false;
        has_placed = has_placed || placement == Placement::placed;
        if (placement == Placement::placed && generation() == current) return true;
    }
    return false;
}

template <size_t entries>
void GenerationalIdSet<entries>::release(uint64_t hash, State state)
{
    const uint32_t current = generation();
    for (const uint32_t generation : {current, current - 1}) {
        size_t slot = 0;
        if (find(generation, hash, slot) != state) continue;
        Word expected = make_word(generation, state, hash);
        slots_of(generation)[slot].compare_exchange_strong(expected,
                                                           make_word(generation, released_id, hash));
    }
}

template <size_t entries>
void GenerationalIdSet<entries>::release_all(State state)
{
    for (Slots& slots : generations_)
        for (std::atomic<Word>& slot : slots) {
            Word word = slot.load();
            if (state_of_word(word) == state)
                slot.compare_exchange_strong(word, make_word(generation_of_word(word), released_id, word));
        }
}

template <size_t entries>
bool GenerationalIdSet<entries>::contains(uint64_t hash, State state) const
{
    for (int round = 0; round < max_claim_rounds; ++round) {
        const uint32_t current = generation();
        size_t slot = 0;
        if (find(current, hash, slot) == state || find(current - 1, hash, slot) == state) return true;
        if (generation() == current) return false;
    }
    return true;
}

template class GenerationalIdSet<16>;  // for tests
template class GenerationalIdSet<min_open_claims>;
template class GenerationalIdSet<min_recent_ids>;

void RequestIdTable::initialize(uint64_t id, uint64_t key)
{
    magic = expected_magic;
    version = expected_version;
    byte_size = sizeof(RequestIdTable);
    table_id = id;
    hash_key = key;
}

bool RequestIdTable::has_known_layout() const
{
    return magic == expected_magic && version == expected_version && byte_size == sizeof(RequestIdTable);
}

uint64_t RequestIdTable::hash_of(std::string_view request_id) const
{
    return XXH3_64bits_withSeed(request_id.data(), request_id.size(), hash_key);
}

}  // namespace firtide::net
