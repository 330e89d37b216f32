// The log, on standard error. Below the level debug nothing is logged per invocation.
#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace firtide
{

// Levels: debug, info, warn, error. Returns false for an unknown level.
bool init_logging(const std::string& name, const std::string& level);

// Writes a line without a prefix, for other programs to read, if the level includes info.
void log_raw_line(const std::string& line);

}  // namespace firtide
