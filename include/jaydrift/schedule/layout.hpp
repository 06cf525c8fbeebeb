#ifndef JAYDRIFT_SCHEDULE_LAYOUT_HPP
#define JAYDRIFT_SCHEDULE_LAYOUT_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct context;
struct layout_record;
struct daemon_state;
struct store_item;
struct store_replied;

/// Division of workers and submissions into shards.
namespace layout {

/// Returns the first of the two shards that may take a submission: the owner of
/// the first one decides which of them does. Without an assignment, a worker
/// belongs to the first shard of its ID. `count` is the number of shards.
/// @pre `count` is not 0.
std::uint32_t first_shard_of(std::string_view id, std::size_t count);

/// Returns the other shard that may take a submission. If there is only one
/// shard, that one is returned.
std::uint32_t second_shard_of(std::string_view id, std::size_t count);

/// Returns whether this daemon holds at least one shard.
bool holds_any_shard(daemon_state const& state);

/// Applies the layout that the store holds. The number of shards is fixed once
/// this daemon knows it; a later change is only logged.
void observe(context& ctx, layout_record const& record);

/// Applies the layout's record. One that cannot be read is replaced by the
/// first daemon that knows no layout.
void observe_item(context& ctx, store_item const& item);

/// Handles that the store holds a record of the shard, before the layout is
/// known.
void observe_shard(context& ctx, std::uint32_t shard);

/// Handles that the store holds no layout yet.
void observe_absence(context& ctx);

/// Handles the list of workers. Writes the layout once their number has
/// settled.
void workers_counted(context& ctx, store_replied const& reply);

/// Counts the workers if that is due and this daemon has to do it.
void tick(context& ctx);

} // namespace layout

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LAYOUT_HPP
