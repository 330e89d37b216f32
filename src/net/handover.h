// What the two processes of one upgrade tell each other: that they are there. Each holds a lock on a file of
// its own in a folder that both see; the lock ends with its process, so that a file which is left over,
// foreign or cut says nothing.
#pragma once

#include <string>

#include "event.h"

namespace firtide::net
{

class Handover
{
  public:
    // Where the folder cannot be used, each process is on its own.
    explicit Handover(std::string folder);
    ~Handover();
    Handover(const Handover&) = delete;
    Handover& operator=(const Handover&) = delete;

    bool another_runs() const;

  private:
    std::string folder_, own_;
    Descriptor lock_;
};

}  // namespace firtide::net
