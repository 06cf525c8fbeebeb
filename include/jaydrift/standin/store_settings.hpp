#ifndef JAYDRIFT_STANDIN_STORE_SETTINGS_HPP
#define JAYDRIFT_STANDIN_STORE_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>

namespace jaydrift::standin {

/// Limits and delays of the store and of the VM list.
struct store_settings
{
    /// Limit of puts, erases, lease grants and keep-alives per second.
    std::uint32_t writes_per_second = 500;
    /// Limit of reads, watches and VM list calls per second.
    std::uint32_t reads_per_second = 2000;
    std::size_t max_value_bytes = std::size_t{1} << 20U;
    /// A watch without a change gets an empty reply after this time.
    time_ms watch_time{10'000};
    /// Time until a change of a VM appears in the VM list.
    time_ms vm_list_lag{1'000};
    /// If true, leases do not expire during an outage and have their full time
    /// to live after it. Otherwise an outage does not delay their expiry.
    bool outage_suspends_leases = true;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_SETTINGS_HPP
