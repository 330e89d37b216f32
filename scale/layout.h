// The members of a scale run, their roles, addresses and configuration files.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <vector>

#include "options.h"
#include "src/io/event.h"

namespace firtide::scale
{

// Reserves a range of ports on all loopback addresses of a run, so that concurrent runs do not collide.
// Released by the destructor.
class PortReservation
{
  public:
    // Nothing if all ranges are taken.
    static std::optional<PortReservation> reserve();
    uint16_t port() const { return port_; }

  private:
    PortReservation(Descriptor socket, uint16_t port) : socket_(std::move(socket)), port_(port) {}

    Descriptor socket_;
    uint16_t port_;
};

// A temporary directory that the destructor removes.
class TemporaryFolder
{
  public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

// Rate at which hollow members are started, over all processes.
double starts_per_second(uint32_t members);

// Members that share a hollow process: consecutive indexes in the fleet file.
struct HollowGroup {
    uint32_t first_member = 0, count = 0;
};

class Layout
{
  public:
    Layout(const Options& options, std::string folder, uint16_t port, uint16_t discovery_port);

    uint32_t members() const { return options_.members; }
    uint32_t real() const { return options_.real; }
    bool is_voter(uint32_t member) const { return member < options_.voters; }
    uint16_t port() const { return port_; }

    static std::string member_id(uint32_t member) { return "b" + std::to_string(member + 1); }
    std::string fleet_address(uint32_t member) const;
    sockaddr_in management_address(uint32_t member) const;
    std::string upstream_address(uint32_t upstream) const;
    std::string data_folder(uint32_t member) const;

    std::string config_path(uint32_t member) const;
    std::string fleet_path(uint32_t member) const;
    std::string spec_path(size_t group) const;
    std::string log_path(size_t group) const;
    // With the disruption `killed`, the first group consists of the members to kill.
    const std::vector<HollowGroup>& groups() const { return groups_; }

    // Writes the files of all real members and of the first member of each hollow group.
    void write_files() const;

  private:
    std::string serve_address(uint32_t member) const;
    std::string fleet_file(uint32_t member) const;
    std::string config_file(uint32_t member) const;

    const Options options_;
    const std::string folder_;
    const uint16_t port_, discovery_port_;
    std::vector<HollowGroup> groups_;
};

}  // namespace firtide::scale
