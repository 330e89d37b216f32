// The folder that a member keeps its files in. Errors are values: empty where all went well.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace firtide::fleet
{

class FileSystem
{
  public:
    virtual ~FileSystem() = default;
    // The whole file; nothing where there is none.
    virtual std::error_code read(const std::string& name, std::optional<std::string>& into) = 0;
    // Behind what is there. After an error a part of the bytes may stand there.
    virtual std::error_code append(const std::string& name, std::string_view bytes) = 0;
    // What was appended is on the disk.
    virtual std::error_code sync(const std::string& name) = 0;
    // All or nothing, and on the disk: a new file is written, synced and takes the name.
    virtual std::error_code replace(const std::string& name, std::string_view bytes) = 0;
};

// A folder of the file system, locked for this process as long as it lives.
class Directory : public FileSystem
{
  public:
    // Makes the folder where there is none. Fails where it can't be written, or another process has it.
    static std::error_code open(const std::string& path, std::optional<Directory>& into);
    Directory(Directory&& other) noexcept
        : path_(std::move(other.path_)), lock_(std::exchange(other.lock_, -1))
    {
    }
    Directory& operator=(Directory&&) = delete;
    ~Directory() override;

    std::error_code read(const std::string& name, std::optional<std::string>& into) override;
    std::error_code append(const std::string& name, std::string_view bytes) override;
    std::error_code sync(const std::string& name) override;
    std::error_code replace(const std::string& name, std::string_view bytes) override;

  private:
    Directory(std::string path, int lock) : path_(std::move(path)), lock_(lock) {}
    std::string at(const std::string& name) const { return path_ + "/" + name; }

    std::string path_;
    int lock_ = -1;
};

}  // namespace firtide::fleet
