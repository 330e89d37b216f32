// Persistent storage of a member: a few named files in one directory. It is an interface so that tests and
// the simulation can inject failures. A default-constructed std::error_code means success.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "src/base/descriptor.h"

namespace firtide::fleet
{

class FileSystem
{
  public:
    virtual ~FileSystem() = default;

    // Reads a whole file; `into` is empty if the file does not exist.
    [[nodiscard]] virtual std::error_code read(const std::string& name, std::optional<std::string>& into) = 0;
    // Appends bytes to a file. After an error the file may contain a part of them.
    [[nodiscard]] virtual std::error_code append(const std::string& name, std::string_view bytes) = 0;
    // Returns once everything appended is on the disk.
    [[nodiscard]] virtual std::error_code sync(const std::string& name) = 0;
    // Replaces a file atomically. The new content is on the disk when it returns.
    [[nodiscard]] virtual std::error_code replace(const std::string& name, std::string_view bytes) = 0;
};

// A directory of the operating system, locked by this process for the lifetime of the object. Its calls block
// on the disk. Concurrent calls for the same file are not allowed.
class Directory : public FileSystem
{
  public:
    // Creates the directory if it does not exist. Fails with operation_would_block if another process holds
    // the lock.
    [[nodiscard]] static std::error_code open(const std::string& path, std::optional<Directory>& into);

    std::error_code read(const std::string& name, std::optional<std::string>& into) override;
    std::error_code append(const std::string& name, std::string_view bytes) override;
    std::error_code sync(const std::string& name) override;
    std::error_code replace(const std::string& name, std::string_view bytes) override;

  private:
    Directory(std::string path, Descriptor lock) : path_(std::move(path)), lock_(std::move(lock)) {}
    std::string path_of(const std::string& name) const { return path_ + "/" + name; }

    std::string path_;
    Descriptor lock_;
};

}  // namespace firtide::fleet
