#ifndef JAYDRIFT_CORE_SHOW_STATUS_HPP
#define JAYDRIFT_CORE_SHOW_STATUS_HPP

namespace jaydrift {

/// Asks for the state of the members and shards.
struct show_status
{
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHOW_STATUS_HPP
