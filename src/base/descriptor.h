// RAII owner of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace firtide
{

// Closes its descriptor on destruction. A negative value means no descriptor.
class Descriptor
{
  public:
    explicit Descriptor(int fd = -1) noexcept : fd_(fd) {}
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Descriptor& operator=(Descriptor&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Descriptor()
    {
        if (fd_ >= 0) ::close(fd_);
    }

    [[nodiscard]] int fd() const noexcept { return fd_; }
    [[nodiscard]] bool valid() const noexcept { return fd_ >= 0; }

  private:
    int fd_;
};

}  // namespace firtide
