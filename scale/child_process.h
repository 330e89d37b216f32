// Child processes that are killed by the destructor, and by the kernel when this program ends for any reason.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

namespace firtide::scale
{

// Descriptors for the standard streams of a child; -1: inherited from this program.
struct ChildStreams {
    int input = -1, output = -1, error = -1;
};

class ChildProcess
{
  public:
    // Runs a program; its standard error goes to the file `log`.
    static ChildProcess execute(const std::vector<std::string>& arguments, const std::string& log);
    static ChildProcess execute(const std::vector<std::string>& arguments, const ChildStreams& streams);
    // Runs a function in a fork of this process. The child exits when the function returns.
    static ChildProcess run(const std::function<void()>& body);

    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();  // calls end()

    pid_t id() const { return id_; }
    bool running();
    void signal(int number) const;
    void end();  // kills the process and reaps it

  private:
    explicit ChildProcess(pid_t id) : id_(id) {}

    pid_t id_ = 0;
};

}  // namespace firtide::scale
