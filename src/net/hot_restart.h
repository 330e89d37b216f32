// Lets the two processes of a hot restart detect each other and leave each other a line of text. Each holds a
// lock on a file of its own in a folder that both see. The lock ends with its process, so that a leftover,
// foreign or truncated file has no effect.
#pragma once

#include <string>
#include <vector>

#include "src/base/descriptor.h"

namespace firtide::net
{

class HotRestart
{
  public:
    // If the folder cannot be used, the processes do not detect each other.
    explicit HotRestart(std::string folder);
    ~HotRestart();
    HotRestart(const HotRestart&) = delete;
    HotRestart& operator=(const HotRestart&) = delete;

    // Makes this process visible to the others, if it is not yet. Returns whether it is.
    bool register_process();
    bool another_process_runs() const { return !publications_of_others().empty(); }
    // What each other process that runs has published; an empty text for one that has published nothing.
    std::vector<std::string> publications_of_others() const;
    // Leaves a text for the other processes. Returns whether it could be written completely; if not, others
    // may read a part of it.
    bool publish(const std::string& text);
    // Tries the last publication again if it could not be written.
    void retry_publication();
    // While this is held, no other process gets it. Invalid if another process has it, or at an error.
    Descriptor lock_folder() const;

  private:
    std::string folder_, own_path_;
    std::string publication_;
    bool is_published_ = true, has_warned_ = false;
    Descriptor lock_file_;
};

}  // namespace firtide::net
