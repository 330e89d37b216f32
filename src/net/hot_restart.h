// What the two processes of one upgrade tell each other: that they are there. Each holds a lock on a file of
// its own in a folder that both see; the lock ends with its process, so that a file which is left over,
// foreign or cut says nothing.
#pragma once

#include <string>

#include "src/io/event.h"

namespace firtide::net
{

class HotRestart
{
  public:
    // Where the folder cannot be used, each process is on its own.
    explicit HotRestart(std::string folder);
    ~HotRestart();
    HotRestart(const HotRestart&) = delete;
    HotRestart& operator=(const HotRestart&) = delete;

    bool another_runs() const;

  private:
    std::string folder_, own_;
    Descriptor lock_;
};

}  // namespace firtide::net
