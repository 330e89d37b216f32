// The headers of a message, kept as the text in which they are sent on: a head of many short fields takes no
// more memory than its bytes.
#pragma once

#include <initializer_list>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

namespace firtide
{

class Headers
{
  public:
    struct Field {
        std::string_view name, value;
    };

    class const_iterator
    {
      public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = Field;
        using difference_type = std::ptrdiff_t;
        using pointer = const Field*;
        using reference = Field;

        const_iterator() = default;
        explicit const_iterator(std::string_view rest) : rest_(rest) {}
        Field operator*() const;
        const_iterator& operator++();
        const_iterator operator++(int);
        bool operator==(const const_iterator& other) const { return rest_.size() == other.rest_.size(); }

      private:
        std::string_view rest_;
    };

    Headers() = default;
    Headers(std::initializer_list<std::pair<std::string, std::string>> fields);

    // The value must not hold a line feed, nor the name a colon.
    void emplace_back(std::string_view name, std::string_view value);
    void reserve(size_t text_bytes) { text_.reserve(text_bytes); }
    bool empty() const { return text_.empty(); }
    const_iterator begin() const { return const_iterator(text_); }
    const_iterator end() const { return const_iterator(); }

    // As sent after the first line of a message: "\r\nName: value" for each field.
    const std::string& text() const { return text_; }

  private:
    std::string text_;
};

}  // namespace firtide
