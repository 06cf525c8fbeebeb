#ifndef JAYDRIFT_SCENARIO_NETWORK_HPP
#define JAYDRIFT_SCENARIO_NETWORK_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/scenario/node_location.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::scenario {

/// Simulated network between daemons, workers and the store. Decides whether a
/// message arrives and how long it takes.
class network
{
public:
    /// The seed determines which messages are lost, duplicated and delayed.
    explicit network(std::uint64_t seed) : random_(seed) {}

    void set_location(std::string const& node, node_location location);

    /// Returns the location of a node; empty if it was never set.
    node_location const& location_of(std::string_view node) const;

    /// Drops all messages between the two sides until `heal` is called. A side
    /// is a node, a zone or a region.
    void partition(std::string const& first_side,
                   std::string const& second_side);

    /// Ends all partitions and the delays of `set_sender_delay`.
    void heal();

    /// Adds a delay to each message that the node sends, until `heal` is
    /// called.
    void set_sender_delay(std::string const& node, time_ms extra_delay);

    /// Sets the rates, in thousandths, at which messages are lost and
    /// delivered twice, and the limit below which each message gets a random
    /// extra delay.
    void set_message_faults(std::uint32_t loss_permille,
                            std::uint32_t duplication_permille,
                            time_ms max_extra_delay);

    /// Returns the one-way delay of a message, or nothing if it is lost.
    std::optional<time_ms> delay(std::string_view from, std::string_view to);

    /// Decides at random whether the next message is delivered twice.
    bool duplicates_next();

    /// Returns how many messages were sent to another region, including lost
    /// ones. Their sizes are not modelled.
    std::uint64_t messages_between_regions() const
    {
        return messages_between_regions_;
    }

private:
    bool is_partitioned(std::string_view from, std::string_view to) const;

    random_source random_;
    std::map<std::string, node_location, std::less<>> locations_;

    /// Has each pair of partitioned sides in both orders.
    std::set<std::pair<std::string, std::string>> partitions_;
    std::map<std::string, time_ms, std::less<>> sender_delays_;
    std::uint32_t loss_permille_ = 0;
    std::uint32_t duplication_permille_ = 0;
    time_ms max_extra_delay_;
    std::uint64_t messages_between_regions_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_NETWORK_HPP
