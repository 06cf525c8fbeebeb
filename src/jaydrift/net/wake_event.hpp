#ifndef JAYDRIFT_NET_WAKE_EVENT_HPP
#define JAYDRIFT_NET_WAKE_EVENT_HPP

#include "unique_fd.hpp"

namespace jaydrift::net {

/// An eventfd, which threads can wait for in poll together with sockets.
class wake_event
{
public:
    /// @throws net_error if there are no file descriptors left.
    wake_event();

    /// Makes the descriptor readable until `clear` or a read.
    void set() const;
    void clear() const;

    int fd() const { return fd_.value(); }

private:
    unique_fd fd_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WAKE_EVENT_HPP
