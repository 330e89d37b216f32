#include "headers.h"

namespace firtide
{
namespace
{

constexpr std::string_view line_end = "\r\n", value_separator = ": ";

// Of the field that the text begins with, without its line end.
std::string_view first_line(std::string_view text)
{
    text.remove_prefix(line_end.size());
    return text.substr(0, text.find(line_end));
}

}  // namespace

Headers::Headers(std::initializer_list<std::pair<std::string, std::string>> fields)
{
    for (const auto& [name, value] : fields) emplace_back(name, value);
}

void Headers::emplace_back(std::string_view name, std::string_view value)
{
    text_.append(line_end).append(name).append(value_separator).append(value);
}

Headers::Field Headers::const_iterator::operator*() const
{
    const auto line = first_line(rest_);
    const auto name = line.substr(0, line.find(':'));
    return {name, line.substr(name.size() + value_separator.size())};
}

Headers::const_iterator& Headers::const_iterator::operator++()
{
    rest_.remove_prefix(line_end.size() + first_line(rest_).size());
    return *this;
}

Headers::const_iterator Headers::const_iterator::operator++(int)
{
    auto before = *this;
    ++*this;
    return before;
}

}  // namespace firtide
