#include "child_process.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <utility>

namespace firtide::scale
{
namespace
{

constexpr int cannot_execute = 127;

[[noreturn]] void become(const std::vector<char*>& arguments, const ChildStreams& streams, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // Guards against a controller that has ended before the line above.
    if (getppid() != parent) _exit(cannot_execute);
    if (streams.input >= 0) dup2(streams.input, STDIN_FILENO);
    if (streams.output >= 0) dup2(streams.output, STDOUT_FILENO);
    if (streams.error >= 0) dup2(streams.error, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(cannot_execute);
}

}  // namespace

std::optional<ChildProcess> ChildProcess::start(const std::vector<std::string>& arguments,
                                                const ChildStreams& streams)
{
    std::vector<char*> words;
    for (const auto& argument : arguments) words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0) return {};
    if (pid == 0) become(words, streams, parent);
    return ChildProcess(pid);
}

ChildProcess::~ChildProcess() { kill_and_wait(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    std::swap(pid_, other.pid_);
    return *this;
}

bool ChildProcess::ended()
{
    if (pid_ == 0) return true;
    if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
}

void ChildProcess::signal(int number) const
{
    if (pid_ != 0) ::kill(pid_, number);
}

void ChildProcess::kill_and_wait()
{
    if (pid_ == 0) return;
    ::kill(pid_, SIGKILL);
    while (waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
    }
    pid_ = 0;
}

}  // namespace firtide::scale
