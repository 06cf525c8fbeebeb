#ifndef JAYDRIFT_NET_WAKE_EVENT_HPP
#define JAYDRIFT_NET_WAKE_EVENT_HPP

#include "unique_fd.hpp"

namespace jaydrift::net {

/// Event that threads can wait for with poll, together with sockets. Any thread
/// may set or clear it. Uses an eventfd.
class wake_event
{
public:
    /// @throws net_error if the eventfd cannot be opened, such as when no file
    /// descriptor is free.
    wake_event();

    /// Makes `fd()` readable until `clear`.
    void set() const;
    /// Makes `fd()` unreadable until the next `set`.
    void clear() const;

    int fd() const { return fd_.value(); }

private:
    unique_fd fd_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WAKE_EVENT_HPP
