#include "hot_restart.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

namespace fs = std::filesystem;

constexpr const char* sign = ".firtide";

}  // namespace

// Locked before it has its name: nobody ever sees it without its lock.
HotRestart::HotRestart(std::string folder) : folder_(std::move(folder))
{
    std::string unnamed = folder_ + "/start-XXXXXX";
    lock_ = Descriptor(mkostemp(unnamed.data(), O_CLOEXEC));
    if (lock_.fd() < 0) {
        spdlog::warn("{}: no file can be made there; limits are not shared", folder_);
        return;
    }
    std::error_code failed;
    if (flock(lock_.fd(), LOCK_EX | LOCK_NB) == 0) fs::rename(unnamed, unnamed + sign, failed);
    own_ = failed ? unnamed : unnamed + sign;
}

HotRestart::~HotRestart()
{
    if (!own_.empty()) unlink(own_.c_str());
}

bool HotRestart::another_runs() const
{
    std::error_code failed;
    for (fs::directory_iterator at(folder_, failed), end; !failed && at != end; at.increment(failed)) {
        const auto path = at->path().string();
        std::error_code other;
        if (path == own_ || at->path().extension() != sign || !at->is_regular_file(other)) continue;
        const Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
        if (file.fd() >= 0 && flock(file.fd(), LOCK_SH | LOCK_NB) != 0 && errno == EWOULDBLOCK) return true;
    }
    return false;
}

}  // namespace firtide::net
