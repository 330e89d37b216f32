#include "hot_restart.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <utility>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

namespace fs = std::filesystem;

constexpr const char* lock_file_extension = ".firtide";
constexpr size_t max_publication_bytes = 256;

std::string read_publication(int descriptor)
{
    std::string text(max_publication_bytes, '\0');
    const ssize_t bytes = pread(descriptor, text.data(), text.size(), 0);
    text.resize(bytes > 0 ? static_cast<size_t>(bytes) : 0);
    return text;
}

}  // namespace

HotRestart::HotRestart(std::string folder) : folder_(std::move(folder))
{
    // A file that may not grow is an error of its write, and does not end the process.
    std::signal(SIGXFSZ, SIG_IGN);
    register_process();
}

HotRestart::~HotRestart()
{
    if (!own_path_.empty()) unlink(own_path_.c_str());
}

// The file is locked before it gets its name, so that no process ever sees it unlocked.
bool HotRestart::register_process()
{
    if (lock_file_.valid()) return true;
    std::string unnamed = folder_ + "/start-XXXXXX";
    Descriptor file(mkostemp(unnamed.data(), O_CLOEXEC));
    if (!file.valid()) {
        if (!std::exchange(has_warned_, true))
            spdlog::warn("{}: no file can be made there; limits are not shared", folder_);
        return false;
    }
    std::error_code error;
    const std::string named = unnamed + lock_file_extension;
    const bool is_locked = flock(file.fd(), LOCK_EX | LOCK_NB) == 0;
    if (is_locked) fs::rename(unnamed, named, error);
    if (!is_locked || error) {
        unlink(unnamed.c_str());
        return false;
    }
    own_path_ = named;
    lock_file_ = std::move(file);
    return true;
}

std::vector<std::string> HotRestart::publications_of_others() const
{
    std::vector<std::string> publications;
    std::error_code error;
    for (fs::directory_iterator entry(folder_, error), end; !error && entry != end; entry.increment(error)) {
        const auto path = entry->path().string();
        std::error_code type_error;
        if (path == own_path_ || entry->path().extension() != lock_file_extension ||
            !entry->is_regular_file(type_error))
            continue;
        const Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
        if (file.valid() && flock(file.fd(), LOCK_SH | LOCK_NB) != 0 && errno == EWOULDBLOCK)
            publications.push_back(read_publication(file.fd()));
    }
    return publications;
}

bool HotRestart::publish(const std::string& text)
{
    publication_ = text;
    const auto written = pwrite(lock_file_.fd(), text.data(), text.size(), 0);
    is_published_ = written == static_cast<ssize_t>(text.size());
    return is_published_;
}

void HotRestart::retry_publication()
{
    if (!is_published_) publish(std::string(publication_));
}

Descriptor HotRestart::lock_folder() const
{
    Descriptor folder(open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid() || flock(folder.fd(), LOCK_EX | LOCK_NB) != 0) return Descriptor();
    return folder;
}

}  // namespace firtide::net
