// Storage of a member: a few named files in one directory. An interface, so that tests and the simulation can
// make any call fail. Errors are values; a default-constructed std::error_code means success.
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

    // Reads a whole file; nothing where there is none.
    [[nodiscard]] virtual std::error_code read(const std::string& name, std::optional<std::string>& into) = 0;
    // Adds bytes to the end of a file. After an error a part of them may stand there.
    [[nodiscard]] virtual std::error_code append(const std::string& name, std::string_view bytes) = 0;
    // Returns once what was appended is on the disk.
    [[nodiscard]] virtual std::error_code sync(const std::string& name) = 0;
    // Replaces a file, all or nothing; on the disk when it returns.
    [[nodiscard]] virtual std::error_code replace(const std::string& name, std::string_view bytes) = 0;
};

// A directory of the operating system, locked for this process as long as the object lives. Its calls block
// on the disk. Not thread-safe for one and the same file.
class Directory : public FileSystem
{
  public:
    // Creates the directory where there is none. Fails with operation_would_block where another process holds
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
