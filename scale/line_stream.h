// Sends and receives lines over a descriptor.
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
    // Takes ownership of the descriptor. `ended` is called when the peer closes or the descriptor fails; it
    // may be empty.
    LineStream(event_base* base, int descriptor, std::function<void(std::string_view)> line,
               std::function<void()> ended = {});
    LineStream(const LineStream&) = delete;

    void write(const std::string& line);  // appends the line terminator

  private:
    void read_lines();

    BuffereventPtr stream_;
    std::function<void(std::string_view)> on_line_;
    std::function<void()> on_closed_;
};

}  // namespace firtide::scale
