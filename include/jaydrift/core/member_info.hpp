#ifndef JAYDRIFT_CORE_MEMBER_INFO_HPP
#define JAYDRIFT_CORE_MEMBER_INFO_HPP

#include <string>

namespace jaydrift {

/// A daemon, as kept in the store and in settings.
struct member_info
{
    std::string daemon;

    /// Address of the daemon's RPC service, `ip:port`.
    std::string address;
    std::string region;
    std::string zone;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_MEMBER_INFO_HPP
