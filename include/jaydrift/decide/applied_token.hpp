#ifndef JAYDRIFT_DECIDE_APPLIED_TOKEN_HPP
#define JAYDRIFT_DECIDE_APPLIED_TOKEN_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// Token of an operator's request and the policy version that it created.
struct applied_token
{
    std::string token;
    std::uint64_t version = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_APPLIED_TOKEN_HPP
