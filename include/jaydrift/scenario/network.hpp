#ifndef JAYDRIFT_SCENARIO_NETWORK_HPP
#define JAYDRIFT_SCENARIO_NETWORK_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/scenario/place.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::scenario {

/// Decides how long a message takes and whether it arrives.
class network
{
public:
    explicit network(std::uint64_t seed) : random_(seed) {}

    void place_node(std::string const& node, place where);
    place const& place_of(std::string_view node) const;

    /// Cuts two regions, or a node and a region or node, from each other.
    void cut(std::string const& a, std::string const& b);
    void heal();

    /// Adds a delay to every message that a node sends from now on.
    void delay_from(std::string const& node, time_ms extra);

    /// Loses, doubles and delays messages at random, in thousandths.
    void set_chaos(std::uint32_t loss, std::uint32_t doubling,
                   time_ms max_extra_delay);

    /// Returns the delay of a message, or nothing if it is lost.
    std::optional<time_ms> delay(std::string_view from, std::string_view to);

    /// Tells whether the next message is delivered twice.
    bool doubles();

    /// Bytes or calls are not modelled; messages between regions are counted.
    std::uint64_t messages_between_regions() const { return crossing_; }

private:
    bool is_cut(std::string_view from, std::string_view to) const;

    random_source random_;
    std::map<std::string, place, std::less<>> places_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::string, time_ms, std::less<>> extra_;
    std::uint32_t loss_ = 0;
    std::uint32_t doubling_ = 0;
    time_ms max_extra_delay_;
    std::uint64_t crossing_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_NETWORK_HPP
