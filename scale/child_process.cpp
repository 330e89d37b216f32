#include "child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <utility>

#include "src/io/event.h"

namespace firtide::scale
{
namespace
{

constexpr int cannot_execute = 127;

// Forks; `in_child` must not return. The kernel kills the child when this process ends.
template <class InChild>
pid_t fork_child(const InChild& in_child)
{
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0) throw std::runtime_error("cannot fork");
    if (child > 0) return child;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(cannot_execute);
    // Ctrl-C reaches the whole process group, but only the parent handles it and then ends its children.
    std::signal(SIGINT, SIG_IGN);
    in_child();
    _exit(cannot_execute);
}

}  // namespace

ChildProcess ChildProcess::execute(const std::vector<std::string>& arguments, const ChildStreams& streams)
{
    std::vector<char*> pointers;
    for (const auto& argument : arguments) pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);
    return ChildProcess(fork_child([&] {
        if (streams.input >= 0) dup2(streams.input, STDIN_FILENO);
        if (streams.output >= 0) dup2(streams.output, STDOUT_FILENO);
        if (streams.error >= 0) dup2(streams.error, STDERR_FILENO);
        execv(pointers[0], pointers.data());
    }));
}

ChildProcess ChildProcess::execute(const std::vector<std::string>& arguments, const std::string& log)
{
    const Descriptor file(open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    return execute(arguments, ChildStreams{-1, -1, file.fd()});
}

ChildProcess ChildProcess::run(const std::function<void()>& body)
{
    return ChildProcess(fork_child([&] {
        try {
            body();
            _exit(0);
        } catch (const std::exception& error) {
            std::fprintf(stderr, "firtide-latency: stand-in server: %s\n", error.what());
            _exit(1);
        }
    }));
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept : id_(std::exchange(other.id_, 0)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    std::swap(id_, other.id_);
    return *this;
}

ChildProcess::~ChildProcess() { end(); }

void ChildProcess::signal(int number) const
{
    if (id_ != 0) kill(id_, number);
}

bool ChildProcess::running()
{
    if (id_ != 0 && waitpid(id_, nullptr, WNOHANG) == id_) id_ = 0;
    return id_ != 0;
}

void ChildProcess::end()
{
    if (id_ == 0) return;
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = 0;
}

}  // namespace firtide::scale
