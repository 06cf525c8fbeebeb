#ifndef JAYDRIFT_DECIDE_PREFIX_WATCH_HPP
#define JAYDRIFT_DECIDE_PREFIX_WATCH_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

struct store_reply;

} // namespace jaydrift

namespace jaydrift::decide {

struct context;
struct store_failed;
struct store_replied;
enum class reducer_module : std::uint8_t;

/// Follows the keys of a prefix in the store: one read, then one watch after
/// another, to each of which the store replies when a key changes. A failed
/// watch is followed by a new read, so that no change is missed.
struct prefix_watch
{
    std::string prefix;

    /// Correlation number of the outstanding call; 0 means none.
    std::uint64_t correlation = 0;

    /// Store revision up to which changes are known.
    std::uint64_t revision = 0;

    /// When the next read is due if no call is outstanding.
    time_ms retry_at;

    /// The outstanding call is a watch, not a read.
    bool watching = false;

    /// A reply to a read or watch has arrived.
    bool loaded = false;

    /// Tells whether `number` is the correlation number of the outstanding
    /// call.
    bool owns(std::uint64_t number) const
    {
        return number != 0 && number == correlation;
    }
};

/// Sends the read if it is due.
void advance(context& ctx, reducer_module owner, prefix_watch& watch);

/// Handles the reply to the outstanding call and sends the next watch. Returns
/// true if the reply lists every key of the prefix, not only the changed ones.
bool on_watch_replied(context& ctx, reducer_module owner, prefix_watch& watch,
                      store_reply const& reply);

/// Handles a failure of the outstanding call; `advance` reads again when due.
void on_watch_failed(context& ctx, prefix_watch& watch);

/// Returns when `advance` is next due.
time_ms next_timer(prefix_watch const& watch);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PREFIX_WATCH_HPP
