// Lets the two processes of a hot restart detect each other. Each holds a lock on a file of its own in a
// folder that both see. The lock ends with its process, so that a leftover, foreign or truncated file has
// no effect.
#pragma once

#include <string>

#include "src/io/event.h"

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

    bool another_process_runs() const;

  private:
    std::string folder_, own_path_;
    Descriptor lock_file_;
};

}  // namespace firtide::net
