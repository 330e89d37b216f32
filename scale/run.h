// One scale run: starts the fleet, waits until it is complete, measures it while the list changes, and stops
// it.
#pragma once

#include <string>
#include <variant>

#include "result.h"

namespace firtide::scale
{

struct RunFailure {
    int exit_status = 1;
    std::string message;
};

// command: the command line, recorded in the result. own_program: the path of this program, which is also run
// for hollow members.
std::variant<Result, RunFailure> run_scale(const Options& options, const std::string& command,
                                           const std::string& own_program);

}  // namespace firtide::scale
