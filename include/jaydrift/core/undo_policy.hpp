#ifndef JAYDRIFT_CORE_UNDO_POLICY_HPP
#define JAYDRIFT_CORE_UNDO_POLICY_HPP

#include <cstdint>
#include <string>

namespace jaydrift {

/// Makes the previous content the next policy version.
struct undo_policy
{
    /// Version that the operator saw. If another version is current, nothing
    /// changes and the status is `conflict`.
    std::uint64_t based_on = 0;

    /// Unique per command, so that a repeat is applied once.
    std::string token;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_UNDO_POLICY_HPP
