#include "file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace firtide::fleet
{
namespace
{

constexpr mode_t directory_mode = 0700;
constexpr mode_t file_mode = 0600;
constexpr size_t read_buffer_bytes = 64 * 1024;

std::error_code last_error() { return {errno, std::generic_category()}; }

std::error_code write_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written < 0) return last_error();
        if (written == 0) return std::make_error_code(std::errc::no_space_on_device);
        bytes.remove_prefix(static_cast<size_t>(written));
    }
    return {};
}

std::error_code read_all(int fd, std::string& into)
{
    std::array<char, read_buffer_bytes> buffer;
    for (;;) {
        const auto count = ::read(fd, buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) return last_error();
        if (count == 0) return {};
        into.append(buffer.data(), static_cast<size_t>(count));
    }
}

std::error_code sync_path(const std::string& path, int flags)
{
    const Descriptor file(::open(path.c_str(), flags | O_CLOEXEC));
    if (!file.valid() || ::fsync(file.fd()) != 0) return last_error();
    return {};
}

}  // namespace

std::error_code Directory::open(const std::string& path, std::optional<Directory>& into)
{
    if (::mkdir(path.c_str(), directory_mode) != 0 && errno != EEXIST) return last_error();
    Descriptor lock(::open((path + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock.valid()) return last_error();
    if (::flock(lock.fd(), LOCK_EX | LOCK_NB) != 0) return last_error();
    into.emplace(Directory(path, std::move(lock)));
    return {};
}

std::error_code Directory::read(const std::string& name, std::optional<std::string>& into)
{
    into.reset();
    const Descriptor file(::open(path_of(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.valid()) return errno == ENOENT ? std::error_code{} : last_error();
    std::string text;
    if (const auto error = read_all(file.fd(), text)) return error;
    into = std::move(text);
    return {};
}

std::error_code Directory::append(const std::string& name, std::string_view bytes)
{
    const Descriptor file(
        ::open(path_of(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode));
    return file.valid() ? write_all(file.fd(), bytes) : last_error();
}

std::error_code Directory::sync(const std::string& name) { return sync_path(path_of(name), O_RDONLY); }

std::error_code Directory::replace(const std::string& name, std::string_view bytes)
{
    const std::string temporary = path_of(name) + ".new";
    {
        const Descriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
        if (!file.valid()) return last_error();
        if (const auto error = write_all(file.fd(), bytes)) return error;
        if (::fsync(file.fd()) != 0) return last_error();
    }
    if (::rename(temporary.c_str(), path_of(name).c_str()) != 0) return last_error();
    return sync_path(path_, O_RDONLY | O_DIRECTORY);
}

}  // namespace firtide::fleet
