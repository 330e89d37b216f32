// Frees what an object holds.
#pragma once

#include <utility>

namespace firtide
{

// Like `object = next`, which for strings and vectors may keep the memory of the old value.
template <class T>
void replace_and_free(T& object, T next = {})
{
    std::swap(object, next);
}

}  // namespace firtide
