#ifndef JAYDRIFT_SCHEDULE_UNREADABLE_HPP
#define JAYDRIFT_SCHEDULE_UNREADABLE_HPP

#include <jaydrift/core/log_level.hpp>

#include <string_view>

namespace jaydrift::schedule {

struct context;
struct store_item;

/// Records of the store that cannot be read. They are passed over.
namespace unreadable {

/// Logs and counts a record that cannot be read, once for each revision;
/// `part` is the prefix of the line. Does nothing for any other record.
void report(context& ctx, store_item const& item, log_level level,
            std::string_view part);

} // namespace unreadable

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_UNREADABLE_HPP
