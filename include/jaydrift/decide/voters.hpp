#ifndef JAYDRIFT_DECIDE_VOTERS_HPP
#define JAYDRIFT_DECIDE_VOTERS_HPP

#include <cstddef>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift {

struct vm_info;

} // namespace jaydrift

namespace jaydrift::decide {

struct context;
struct daemon_state;
struct shard_view;
struct term_state;

/// Chooses and replaces the voters of a shard, which are some of its workers,
/// and counts their votes.
namespace voters {

using name_set = std::set<std::string, std::less<>>;

/// Tells whether a worker is a voter of the current or the previous generation.
bool is_voter(term_state const& term, std::string_view worker);

/// Tells whether the workers in `accepted`, with the store's vote if `store` is
/// set, are a quorum of the voter set and, during a replacement, of the
/// previous one as well.
bool has_quorum(term_state const& term, name_set const& accepted, bool store);

/// Chooses up to `limit` voters, spread evenly over the availability zones and,
/// within a zone, over the racks. Workers in `kept` are always chosen.
std::vector<std::string> choose(std::span<vm_info const> workers,
                                std::span<std::string const> kept,
                                std::size_t limit);

/// Returns how many of the named workers are in the availability zone that has
/// most of them.
std::size_t largest_zone_count(std::span<vm_info const> workers,
                               std::span<std::string const> names);

/// Chooses the voters of a shard that has no record yet.
std::vector<std::string> choose_initial(daemon_state const& state,
                                        shard_view const& view);

/// Begins or completes a replacement of voters if one is due.
void advance(context& ctx, shard_view& view);

} // namespace voters

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_VOTERS_HPP
