#ifndef JAYDRIFT_SCHEDULE_AREAS_HPP
#define JAYDRIFT_SCHEDULE_AREAS_HPP

#include <jaydrift/schedule/store_item.hpp>

#include <span>

namespace jaydrift::schedule {

struct context;
struct relayed_view;

/// Applies the records of the watched store areas to the state.
namespace areas {

/// Apply the complete content of an area; what `items` does not list no longer
/// exists in the store.
void operators_read(context& ctx, std::span<store_item const> items);
void coordination_read(context& ctx, std::span<store_item const> items);
void workers_read(context& ctx, std::span<store_item const> items);

/// Apply the write or deletion of one record.
void operators_changed(context& ctx, store_item const& item);
void coordination_changed(context& ctx, store_item const& item);
void workers_changed(context& ctx, store_item const& item);

/// Applies the operators' area as another daemon knows it. Returns false if it
/// is a difference to another configuration than this daemon has.
bool operators_relayed(context& ctx, relayed_view const& view);

} // namespace areas

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_AREAS_HPP
