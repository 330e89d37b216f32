// The directory that a member keeps its files in: whose it is, and the member's last incarnation.
#pragma once

#include <stdexcept>
#include <string>

#include "src/fleet/config.h"
#include "src/fleet/storage/file_system.h"
#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{

// Why a fleet file cannot be used on this machine. The text names the file, the key and the cause.
struct CannotStart : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class MemberDirectory
{
  public:
    // Creates the directory where there is none, and locks it. `path`: of the fleet file, for errors. Throws
    // CannotStart where the directory cannot be had, or is another member's.
    MemberDirectory(const FleetConfig& config, const std::string& path);

    [[nodiscard]] FileSystem& files() { return directory_; }
    // Higher than any that was stored.
    [[nodiscard]] Incarnation next_incarnation();
    // Stores an incarnation; does nothing where it is stored already.
    [[nodiscard]] std::error_code store_incarnation(Incarnation incarnation);

  private:
    // The stored form.
    struct MemberRecord {
        std::string fleet, member;
        Incarnation incarnation = 0;
        MSGPACK_DEFINE(fleet, member, incarnation)
    };

    const std::string fleet_, member_;
    Directory directory_;
    Incarnation stored_ = 0;
};

}  // namespace firtide::fleet
