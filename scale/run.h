// One scale run: starts the fleet, waits until it is whole, measures it while the list changes, and ends it.
#pragma once

#include <string>
#include <variant>

#include "result.h"

namespace firtide::scale
{

struct RunFailure {
    int exit_status = 1;
    std::string what;
};

// command: as it was given, for the result. own_program: the path of this program.
std::variant<Result, RunFailure> run_scale(const Options& options, const std::string& command,
                                           const std::string& own_program);

}  // namespace firtide::scale
