#include "log.h"

#include <event2/event.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace firtide
{

bool init_logging(const std::string& name, const std::string& level)
{
    const auto known = spdlog::level::from_str(level);
    if (known == spdlog::level::off) return false;
    auto log = std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>());
    log->set_level(known);
    log->flush_on(spdlog::level::trace);
    spdlog::set_default_logger(std::move(log));
    event_set_log_callback([](int severity, const char* text) {
        if (severity >= EVENT_LOG_WARN) spdlog::warn("libevent: {}", text);
    });
    return true;
}

void log_raw_line(const std::string& line)
{
    static const auto log = [] {
        auto made =
            std::make_shared<spdlog::logger>("lines", std::make_shared<spdlog::sinks::stderr_sink_mt>());
        made->set_pattern("%v");
        made->flush_on(spdlog::level::trace);
        return made;
    }();
    if (spdlog::should_log(spdlog::level::info)) log->info(line);
}

}  // namespace firtide
