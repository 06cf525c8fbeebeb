#ifndef JAYDRIFT_CORE_UNDO_POLICY_HPP
#define JAYDRIFT_CORE_UNDO_POLICY_HPP

#include <cstdint>
#include <string>

namespace jaydrift {

/// Makes the previous content the next policy version.
struct undo_policy
{
    std::uint64_t based_on = 0;
    std::string token;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_UNDO_POLICY_HPP
