#include <jaydrift/scenario/network.hpp>

#include <functional>

namespace jaydrift::scenario {

namespace {

/// One-way delays of the deployments, rounded up to whole milliseconds.
constexpr time_ms within_zone{1};
constexpr time_ms between_zones{2};
constexpr time_ms between_regions{8};

} // namespace

void network::place_node(std::string const& node, place where)
{
    places_[node] = std::move(where);
}

place const& network::place_of(std::string_view node) const
{
    static place const nowhere;
    auto const found = places_.find(node);
    return found == places_.end() ? nowhere : found->second;
}

void network::cut(std::string const& a, std::string const& b)
{
    cuts_.emplace(a, b);
    cuts_.emplace(b, a);
}

void network::heal()
{
    cuts_.clear();
    extra_.clear();
}

void network::delay_from(std::string const& node, time_ms extra)
{
    extra_[node] = extra;
}

void network::set_chaos(std::uint32_t loss, std::uint32_t doubling,
                        time_ms max_extra_delay)
{
    loss_ = loss;
    doubling_ = doubling;
    max_extra_delay_ = max_extra_delay;
}

bool network::is_cut(std::string_view from, std::string_view to) const
{
    auto const& a = place_of(from);
    auto const& b = place_of(to);
    for (auto const& [x, y] : cuts_)
    {
        bool const matches_from = x == from || x == a.region || x == a.zone;
        bool const matches_to = y == to || y == b.region || y == b.zone;
        if (matches_from && matches_to)
        {
            return true;
        }
    }
    return false;
}

std::optional<time_ms> network::delay(std::string_view from,
                                      std::string_view to)
{
    auto const& a = place_of(from);
    auto const& b = place_of(to);
    if (a.region != b.region)
    {
        ++crossing_;
    }
    if (is_cut(from, to) || random_.below(1000) < loss_)
    {
        return std::nullopt;
    }
    auto result = a.region != b.region ? between_regions
                  : a.zone != b.zone   ? between_zones
                                       : within_zone;
    if (max_extra_delay_ > time_ms(0))
    {
        result += time_ms(static_cast<std::int64_t>(random_.below(
            static_cast<std::uint64_t>(max_extra_delay_.count()))));
    }
    auto const extra = extra_.find(from);
    return extra == extra_.end() ? result : result + extra->second;
}

bool network::doubles() { return random_.below(1000) < doubling_; }

} // namespace jaydrift::scenario
