#ifndef JAYDRIFT_NET_UNIQUE_FD_HPP
#define JAYDRIFT_NET_UNIQUE_FD_HPP

#include <unistd.h>

#include <utility>

namespace jaydrift::net {

/// Owns a file descriptor and closes it on destruction.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd) : fd_(fd) {}
    unique_fd(unique_fd&& other) noexcept : fd_(other.release()) {}
    /// Exchanges the descriptors; the destructor of `other` closes the old one.
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~unique_fd()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
        }
    }

    int value() const { return fd_; }
    bool valid() const { return fd_ >= 0; }
    /// Gives up ownership of the descriptor and returns it.
    int release() { return std::exchange(fd_, -1); }

private:
    int fd_ = -1;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_UNIQUE_FD_HPP
