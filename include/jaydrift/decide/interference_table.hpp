#ifndef JAYDRIFT_DECIDE_INTERFERENCE_TABLE_HPP
#define JAYDRIFT_DECIDE_INTERFERENCE_TABLE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <map>
#include <string>
#include <utility>

namespace jaydrift::decide {

/// Learned slowdown of a kind while another kind runs on the same VM.
struct interference_table
{
    /// Factor by (slowed kind, running kind); a pair that is absent has 1.
    std::map<std::pair<std::string, std::string>, double> factors;
    time_ms next_decay_at;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_INTERFERENCE_TABLE_HPP
