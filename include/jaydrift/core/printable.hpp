#ifndef JAYDRIFT_CORE_PRINTABLE_HPP
#define JAYDRIFT_CORE_PRINTABLE_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace jaydrift {

/// Returns whether a text can name a process or a record: not empty, at most
/// 200 visible ASCII characters, and no slash.
bool is_name(std::string_view text);

/// Returns a text of another party for a log line: control characters are
/// replaced, and only the first `max_size` bytes are kept.
std::string printable(std::string_view text, std::size_t max_size = 60);

} // namespace jaydrift

#endif // JAYDRIFT_CORE_PRINTABLE_HPP
