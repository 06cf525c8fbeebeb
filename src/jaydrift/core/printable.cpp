#include <jaydrift/core/printable.hpp>

#include <algorithm>

namespace jaydrift {

namespace {

/// Longest key of the store.
constexpr std::size_t max_name_size = 200;

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_size
           && std::all_of(text.begin(), text.end(), [](char each) {
                  return each > ' ' && each <= '~' && each != '/';
              });
}

std::string printable(std::string_view text, std::size_t max_size)
{
    std::string result(text.substr(0, max_size));
    std::replace_if(
        result.begin(), result.end(),
        [](char each) { return (each >= 0 && each < ' ') || each == '\x7f'; },
        '?');
    if (text.size() > max_size)
    {
        result += "...";
    }
    return result;
}

} // namespace jaydrift
