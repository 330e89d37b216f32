// What the two processes of an upgrade share: a listening socket and a folder.
#pragma once

#include <filesystem>
#include <fstream>

#include "trace.h"

namespace firtide
{

class SharedListener
{
  public:
    SharedListener()
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
          folder_((std::filesystem::temp_directory_path() / "firtide-test-XXXXXX").string())
    {
        auto address = TestConnection::loopback_address(0);
        auto* socket_address = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        const bool listens = bind(descriptor_, socket_address, size) == 0 &&
                             ::listen(descriptor_, 1024) == 0 &&
                             getsockname(descriptor_, socket_address, &size) == 0;
        if (!listens || !mkdtemp(folder_.data())) throw std::runtime_error("no shared listener");
        port_ = ntohs(address.sin_port);
    }
    ~SharedListener()
    {
        ::close(descriptor_);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    SharedListener(const SharedListener&) = delete;
    SharedListener& operator=(const SharedListener&) = delete;

    uint16_t port() const { return port_; }
    const std::string& folder() const { return folder_; }
    // For BalancerProcess, to be run in the child.
    std::function<void()> pass_on() const
    {
        return [this] {
            dup2(descriptor_, passed_descriptor);
            setenv("NODE_PASSED_SOCKET", std::to_string(passed_descriptor).c_str(), 1);
            setenv("TMPDIR", folder_.c_str(), 1);
        };
    }

  private:
    static constexpr int passed_descriptor = 200;  // not one that the test has
    int descriptor_;
    std::string folder_;
    uint16_t port_ = 0;
};

// Resident memory of both processes together in bytes: their own pages, and once the pages of files, which
// both use. The most of it since construction; 0 if one of them was gone all the time.
class SharedMemoryPeak
{
  public:
    SharedMemoryPeak(pid_t first, pid_t second) : thread_([this, first, second] { run(first, second); }) {}
    ~SharedMemoryPeak()
    {
        if (thread_.joinable()) stop();
    }
    SharedMemoryPeak(const SharedMemoryPeak&) = delete;
    SharedMemoryPeak& operator=(const SharedMemoryPeak&) = delete;

    size_t stop()
    {
        stopping_ = true;
        thread_.join();
        return peak_;
    }

  private:
    void run(pid_t first, pid_t second)
    {
        for (; !stopping_; sleep_ms(10)) {
            if (!runs_the_program(first) || !runs_the_program(second)) continue;
            const Resident a = resident(first), b = resident(second);
            if (a.own_bytes > 0 && b.own_bytes > 0)
                peak_ = std::max(peak_, a.own_bytes + b.own_bytes + std::max(a.file_bytes, b.file_bytes));
        }
    }
    // A child that has been forked and not yet become the program has this test's memory.
    static bool runs_the_program(pid_t pid)
    {
        std::error_code failed;
        const auto own = std::filesystem::read_symlink("/proc/self/exe", failed);
        const auto other = std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", failed);
        return !failed && other != own;
    }
    struct Resident {
        size_t own_bytes = 0, file_bytes = 0;
    };
    static Resident resident(pid_t pid)
    {
        Resident out;
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("RssAnon:", 0) == 0) out.own_bytes += std::stoul(line.substr(8)) * 1024;
            if (line.rfind("RssShmem:", 0) == 0) out.own_bytes += std::stoul(line.substr(9)) * 1024;
            if (line.rfind("RssFile:", 0) == 0) out.file_bytes = std::stoul(line.substr(8)) * 1024;
        }
        return out;
    }

    size_t peak_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

}  // namespace firtide
