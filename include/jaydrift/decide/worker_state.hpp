#ifndef JAYDRIFT_DECIDE_WORKER_STATE_HPP
#define JAYDRIFT_DECIDE_WORKER_STATE_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/interference_table.hpp>
#include <jaydrift/decide/worker_entry.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// State of the workers module.
struct worker_state
{
    /// By worker name; workers that are gone stay for a while.
    std::map<std::string, worker_entry, std::less<>> entries;

    /// Names of the workers that are not gone, sorted.
    std::map<shard_id, std::vector<std::string>> by_shard;

    /// Revision of the VM list that `entries` reflects; 0 asks for all of it.
    std::uint64_t list_revision = 0;

    /// Correlation number of the outstanding query of the VM list.
    std::optional<std::uint64_t> list_query;
    time_ms next_list_query;

    interference_table interference;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_STATE_HPP
