// Child processes that end with their owner, and with this program however it ends.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

namespace firtide::scale
{

class ChildProcess
{
  public:
    // Runs a program; its standard error goes to the file `log`.
    static ChildProcess execute(const std::vector<std::string>& arguments, const std::string& log);
    // Runs a function in a fork of this process, which ends when the function returns.
    static ChildProcess run(const std::function<void()>& body);

    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    // Kills it and waits for its end.
    ~ChildProcess();

    pid_t id() const { return id_; }
    bool running();

  private:
    explicit ChildProcess(pid_t id) : id_(id) {}
    void end();

    pid_t id_ = 0;
};

}  // namespace firtide::scale
