#include <jaydrift/scenario/network.hpp>

#include <functional>

namespace jaydrift::scenario {

namespace {

/// One-way delays in the deployments, rounded up to whole milliseconds.
constexpr time_ms delay_within_zone{1};
constexpr time_ms delay_between_zones{2};
constexpr time_ms delay_between_regions{8};

/// Denominator of the rates of loss and duplication.
constexpr std::uint64_t permille_base = 1000;

} // namespace

void network::set_location(std::string const& node, node_location location)
{
    locations_[node] = std::move(location);
}

node_location const& network::location_of(std::string_view node) const
{
    static node_location const unknown;
    auto const found = locations_.find(node);
    return found == locations_.end() ? unknown : found->second;
}

void network::partition(std::string const& first_side,
                        std::string const& second_side)
{
    partitions_.emplace(first_side, second_side);
    partitions_.emplace(second_side, first_side);
}

void network::heal()
{
    partitions_.clear();
    sender_delays_.clear();
}

void network::set_sender_delay(std::string const& node, time_ms extra_delay)
{
    sender_delays_[node] = extra_delay;
}

void network::set_message_faults(std::uint32_t loss_permille,
                                 std::uint32_t duplication_permille,
                                 time_ms max_extra_delay)
{
    loss_permille_ = loss_permille;
    duplication_permille_ = duplication_permille;
    max_extra_delay_ = max_extra_delay;
}

bool network::is_partitioned(std::string_view from, std::string_view to) const
{
    auto const& source = location_of(from);
    auto const& destination = location_of(to);
    for (auto const& [source_side, destination_side] : partitions_)
    {
        bool const matches_from = source_side == from
                                  || source_side == source.region
                                  || source_side == source.zone;
        bool const matches_to = destination_side == to
                                || destination_side == destination.region
                                || destination_side == destination.zone;
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
    auto const& source = location_of(from);
    auto const& destination = location_of(to);
    if (source.region != destination.region)
    {
        ++messages_between_regions_;
    }
    if (is_partitioned(from, to)
        || random_.below(permille_base) < loss_permille_)
    {
        return std::nullopt;
    }
    auto result = source.region != destination.region ? delay_between_regions
                  : source.zone != destination.zone   ? delay_between_zones
                                                      : delay_within_zone;
    if (max_extra_delay_ > time_ms(0))
    {
        result += time_ms(static_cast<std::int64_t>(random_.below(
            static_cast<std::uint64_t>(max_extra_delay_.count()))));
    }
    auto const sender_delay = sender_delays_.find(from);
    return sender_delay == sender_delays_.end() ? result
                                                : result + sender_delay->second;
}

bool network::duplicates_next()
{
    return random_.below(permille_base) < duplication_permille_;
}

} // namespace jaydrift::scenario
