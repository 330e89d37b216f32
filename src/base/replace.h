// Frees what an object holds.
#pragma once

#include <type_traits>
#include <utility>

namespace firtide
{

// Like `object = next`, which for strings and vectors may keep the memory of the old value.
template <class T>
void replace_and_free(T& object, T next = {})
{
    static_assert(std::is_nothrow_swappable_v<T>, "a swap that copies keeps the memory of the old value");
    std::swap(object, next);
}

}  // namespace firtide
