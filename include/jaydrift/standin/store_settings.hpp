#ifndef JAYDRIFT_STANDIN_STORE_SETTINGS_HPP
#define JAYDRIFT_STANDIN_STORE_SETTINGS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>

namespace jaydrift::standin {

/// Limits and delays of the store and of the VM list.
struct store_settings
{
    /// Puts, erases, lease grants and keep-alives in one second.
    std::uint32_t writes_per_second = 500;
    /// Reads, watches and VM list calls in one second.
    std::uint32_t reads_per_second = 2000;
    std::size_t max_value_bytes = std::size_t{1} << 20U;
    /// A watch without a change is answered empty after this time.
    time_ms watch_time{10'000};
    /// A change of a VM shows in the list after this time.
    time_ms vm_list_lag{1'000};
    /// If set, leases do not expire during an outage and have their full time
    /// to live afterwards. Otherwise they expire on time, outage or not.
    bool outage_suspends_leases = true;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_SETTINGS_HPP
