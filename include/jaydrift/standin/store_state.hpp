#ifndef JAYDRIFT_STANDIN_STORE_STATE_HPP
#define JAYDRIFT_STANDIN_STORE_STATE_HPP

#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/standin/delayed_answer.hpp>
#include <jaydrift/standin/listed_vm.hpp>
#include <jaydrift/standin/rate_window.hpp>
#include <jaydrift/standin/store_lease.hpp>
#include <jaydrift/standin/store_settings.hpp>
#include <jaydrift/standin/store_stats.hpp>
#include <jaydrift/standin/stored_value.hpp>
#include <jaydrift/standin/vm_change.hpp>
#include <jaydrift/standin/waiting_watch.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jaydrift::standin {

/// State of the stand-in of the platform's store and VM list.
struct store_state
{
    store_settings settings;

    /// Revision of the last change of a key; each change raises it by 1.
    std::uint64_t revision = 0;
    std::map<std::string, stored_value, std::less<>> values;
    /// Deleted keys, each with the revision of its deletion.
    std::map<std::string, std::uint64_t, std::less<>> deleted;
    /// ID of the last granted lease; IDs begin at 1.
    std::uint64_t last_lease = 0;
    std::map<std::uint64_t, store_lease> leases;
    std::vector<waiting_watch> watches;

    /// Current VMs; `vm_list` lags behind.
    std::map<std::string, vm_info, std::less<>> vms;
    /// Changes that `vm_list` does not show yet, oldest first.
    std::deque<vm_change> vm_changes;
    std::map<std::string, listed_vm, std::less<>> vm_list;
    std::uint64_t vm_list_revision = 0;

    bool outage = false;
    /// Delay of every reply.
    time_ms slowness;
    /// Number of replies still to drop; see `store_fault::lose_answers`.
    std::uint64_t answers_to_lose = 0;
    std::deque<delayed_answer> delayed;

    rate_window writes;
    rate_window reads;
    store_stats stats;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_STATE_HPP
