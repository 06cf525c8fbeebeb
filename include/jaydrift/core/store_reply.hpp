#ifndef JAYDRIFT_CORE_STORE_REPLY_HPP
#define JAYDRIFT_CORE_STORE_REPLY_HPP

#include <jaydrift/core/store_entry.hpp>
#include <jaydrift/core/store_outcome.hpp>
#include <jaydrift/core/vm_info.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// Reply of the store to any request.
struct store_reply
{
    store_outcome outcome = store_outcome::ok;

    /// Put: revision of the key. Read and watch: revision of the store.
    /// Conflict: current revision of the key. VM list: its revision.
    std::uint64_t revision = 0;
    /// Read: keys with the prefix. Watch: those that changed.
    std::vector<store_entry> entries;

    /// Keys deleted since the revision that a watch named.
    std::vector<std::string> deleted;
    /// Grant and keep-alive: number of the lease.
    std::uint64_t lease = 0;
    /// VM list: entries that changed after the revision of the request.
    std::vector<vm_info> vms;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STORE_REPLY_HPP
