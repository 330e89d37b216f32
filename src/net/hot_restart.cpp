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

constexpr const char* lock_file_extension = ".firtide";

}  // namespace

// The file is locked before it gets its name, so that no process ever sees it unlocked.
HotRestart::HotRestart(std::string folder) : folder_(std::move(folder))
{
    std::string unnamed = folder_ + "/start-XXXXXX";
    lock_file_ = Descriptor(mkostemp(unnamed.data(), O_CLOEXEC));
    if (lock_file_.fd() < 0) {
        spdlog::warn("{}: no file can be made there; limits are not shared", folder_);
        return;
    }
    std::error_code error;
    if (flock(lock_file_.fd(), LOCK_EX | LOCK_NB) == 0)
        fs::rename(unnamed, unnamed + lock_file_extension, error);
    own_path_ = error ? unnamed : unnamed + lock_file_extension;
}

HotRestart::~HotRestart()
{
    if (!own_path_.empty()) unlink(own_path_.c_str());
}

bool HotRestart::another_process_runs() const
{
    std::error_code error;
    for (fs::directory_iterator entry(folder_, error), end; !error && entry != end; entry.increment(error)) {
        const auto path = entry->path().string();
        std::error_code type_error;
        if (path == own_path_ || entry->path().extension() != lock_file_extension ||
            !entry->is_regular_file(type_error))
            continue;
        const Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
        if (file.fd() >= 0 && flock(file.fd(), LOCK_SH | LOCK_NB) != 0 && errno == EWOULDBLOCK) return true;
    }
    return false;
}

}  // namespace firtide::net
