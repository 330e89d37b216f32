// Lines over a descriptor, both ways.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "src/io/event.h"

namespace firtide::scale
{

class LineStream
{
  public:
    // Owns the descriptor. ended: the other side has closed, or the descriptor failed; may be empty.
    LineStream(event_base* base, int descriptor, std::function<void(std::string_view)> line,
               std::function<void()> ended = {});
    LineStream(const LineStream&) = delete;

    void write(const std::string& line);  // its end is added

  private:
    void read_lines();

    BuffereventPtr stream_;
    std::function<void(std::string_view)> line_;
    std::function<void()> ended_;
};

}  // namespace firtide::scale
