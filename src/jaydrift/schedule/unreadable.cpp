#include <jaydrift/schedule/unreadable.hpp>

#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/store_item.hpp>

#include <variant>

namespace jaydrift::schedule::unreadable {

namespace {

/// Bounds the revisions that are remembered; beyond it, records are reported
/// again.
constexpr std::size_t max_remembered = 10000;

} // namespace

void report(context& ctx, store_item const& item, log_level level,
            std::string_view part)
{
    auto& reported = ctx.state.unreadable_revisions;
    auto const* const record = std::get_if<unreadable_record>(&item.record);
    if (!record || item.deleted)
    {
        reported.erase(item.key);
        return;
    }
    if (reported.size() >= max_remembered)
    {
        reported.clear();
    }
    auto& revision = reported[item.key];
    if (revision == item.revision)
    {
        return;
    }
    revision = item.revision;
    ctx.log(level, part,
            "record '" + printable(item.key.name) + "' at revision "
                + std::to_string(item.revision)
                + " cannot be read and is ignored: " + record->reason);
    ctx.count("unreadable_records_total", "store");
}

} // namespace jaydrift::schedule::unreadable
