// A process that ends with its owner, and with the controller, however that ends.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace firtide::scale
{

// Descriptors that the child gets as its own; -1: the controller's.
struct ChildStreams {
    int input = -1, output = -1, error = -1;
};

class ChildProcess
{
  public:
    // Nothing where the system has no room for another process.
    static std::optional<ChildProcess> start(const std::vector<std::string>& arguments,
                                             const ChildStreams& streams);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;

    pid_t pid() const { return pid_; }
    bool ended();  // by itself
    void signal(int number) const;
    void kill_and_wait();

  private:
    explicit ChildProcess(pid_t pid) : pid_(pid) {}

    pid_t pid_ = 0;
};

}  // namespace firtide::scale
