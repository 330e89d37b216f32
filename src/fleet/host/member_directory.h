// The directory with a member's files. Stores which member it belongs to, and that member's last incarnation.
#pragma once

#include <stdexcept>
#include <string>

#include "src/fleet/config.h"
#include "src/fleet/storage/file_system.h"
#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{

// The fleet file cannot be used on this machine. The message names the file, the key and the cause.
struct CannotStart : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class MemberDirectory
{
  public:
    // Creates the directory if there is none, and locks it. `path`: of the fleet file, for error messages.
    // Throws CannotStart if the directory cannot be used or belongs to another member.
    MemberDirectory(const FleetConfig& config, const std::string& path);

    [[nodiscard]] FileSystem& files() { return directory_; }
    // Higher than any stored incarnation.
    [[nodiscard]] Incarnation next_incarnation();
    // Does nothing if the incarnation is already stored.
    [[nodiscard]] std::error_code store_incarnation(Incarnation incarnation);

  private:
    // The content of the file.
    struct MemberRecord {
        std::string fleet, member;
        Incarnation incarnation = 0;
        MSGPACK_DEFINE(fleet, member, incarnation)
    };

    const std::string fleet_, member_;
    Directory directory_;
    Incarnation stored_incarnation_ = 0;
};

}  // namespace firtide::fleet
