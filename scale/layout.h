// Who is who in a scale run, where each listens, and the files that the processes read.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <vector>

#include "options.h"
#include "src/io/event.h"

namespace firtide::scale
{

// A port that this run alone uses on all its loopback addresses, for as long as this lives.
class PortClaim
{
  public:
    // Nothing where all are taken.
    static std::optional<PortClaim> claim();
    uint16_t port() const { return port_; }

  private:
    PortClaim(Descriptor socket, uint16_t port) : socket_(std::move(socket)), port_(port) {}

    Descriptor socket_;
    uint16_t port_;
};

// A folder that goes with its owner.
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

// Of hollow members, all processes together.
double starts_per_second(uint32_t members);

// The members that share a hollow process: their places in the fleet file, one after the other.
struct HollowGroup {
    uint32_t first = 0, count = 0;
};

class Layout
{
  public:
    Layout(const Options& options, std::string folder, uint16_t port, uint16_t discovery_port);

    uint32_t members() const { return options_.members; }
    uint32_t real() const { return options_.real; }
    bool votes(uint32_t member) const { return member < options_.voters; }
    uint16_t port() const { return port_; }

    static std::string id_of(uint32_t member) { return "b" + std::to_string(member + 1); }
    std::string fleet_address(uint32_t member) const;
    sockaddr_in door(uint32_t member) const;
    std::string upstream_address(uint32_t upstream) const;
    std::string data_folder(uint32_t member) const;

    std::string config_path(uint32_t member) const;
    std::string fleet_path(uint32_t member) const;
    std::string spec_path(size_t group) const;
    std::string log_path(size_t group) const;
    // Where members are killed the first group is made of these.
    const std::vector<HollowGroup>& groups() const { return groups_; }

    // Of all real members, and of the first member of each hollow group.
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
