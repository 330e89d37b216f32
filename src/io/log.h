// The log: lines on standard error about the program's life; nothing per invocation unless debug is asked
// for.
#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace firtide
{

// Levels: debug, info, warn, error. False where there is no such level.
bool init_logging(const std::string& name, const std::string& level);

// A line as it stands, for what other programs read; where the level takes in info.
void log_raw_line(const std::string& line);

}  // namespace firtide
