#ifndef JAYDRIFT_DECIDE_MEMBER_TEXT_HPP
#define JAYDRIFT_DECIDE_MEMBER_TEXT_HPP

#include <jaydrift/core/member_info.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::decide {

/// Returns the value of a daemon's key in the store.
std::string encode_member(member_info const& member);

/// Reads the value of a daemon's key; nothing if a field is missing or the
/// daemon's name is empty.
std::optional<member_info> decode_member(std::string_view text);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBER_TEXT_HPP
