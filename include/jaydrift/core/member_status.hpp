#ifndef JAYDRIFT_CORE_MEMBER_STATUS_HPP
#define JAYDRIFT_CORE_MEMBER_STATUS_HPP

#include <jaydrift/core/member_info.hpp>

namespace jaydrift {

/// What a daemon knows about another daemon.
struct member_status
{
    member_info member;
    bool live = true;
    /// It hands its shards over and takes none.
    bool draining = false;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_MEMBER_STATUS_HPP
