#include "file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace firtide::fleet
{
namespace
{

std::error_code last_error() { return {errno, std::generic_category()}; }

struct Descriptor {
    int fd;
    ~Descriptor()
    {
        if (fd >= 0) ::close(fd);
    }
};

std::error_code write_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return last_error();
        if (n == 0) return std::make_error_code(std::errc::no_space_on_device);
        bytes.remove_prefix(static_cast<size_t>(n));
    }
    return {};
}

std::error_code sync_path(const std::string& path, int flags)
{
    const Descriptor file{::open(path.c_str(), flags | O_CLOEXEC)};
    if (file.fd < 0 || ::fsync(file.fd) != 0) return last_error();
    return {};
}

}  // namespace

std::error_code Directory::open(const std::string& path, std::optional<Directory>& into)
{
    if (::mkdir(path.c_str(), 0700) != 0 && errno != EEXIST) return last_error();
    const int lock = ::open((path + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock < 0) return last_error();
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        const auto error = last_error();
        ::close(lock);
        return error;
    }
    into.emplace(Directory(path, lock));
    return {};
}

Directory::~Directory()
{
    if (lock_ >= 0) ::close(lock_);
}

std::error_code Directory::read(const std::string& name, std::optional<std::string>& into)
{
    into.reset();
    const Descriptor file{::open(at(name).c_str(), O_RDONLY | O_CLOEXEC)};
    if (file.fd < 0) return errno == ENOENT ? std::error_code{} : last_error();
    std::string all;
    char bytes[65536];
    for (;;) {
        const auto n = ::read(file.fd, bytes, sizeof bytes);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return last_error();
        if (n == 0) break;
        all.append(bytes, static_cast<size_t>(n));
    }
    into = std::move(all);
    return {};
}

std::error_code Directory::append(const std::string& name, std::string_view bytes)
{
    const Descriptor file{::open(at(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600)};
    return file.fd < 0 ? last_error() : write_all(file.fd, bytes);
}

std::error_code Directory::sync(const std::string& name) { return sync_path(at(name), O_RDONLY); }

std::error_code Directory::replace(const std::string& name, std::string_view bytes)
{
    const std::string fresh = at(name) + ".new";
    {
        const Descriptor file{::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)};
        if (file.fd < 0) return last_error();
        if (const auto error = write_all(file.fd, bytes)) return error;
        if (::fsync(file.fd) != 0) return last_error();
    }
    if (::rename(fresh.c_str(), at(name).c_str()) != 0) return last_error();
    return sync_path(path_, O_RDONLY | O_DIRECTORY);
}

}  // namespace firtide::fleet
