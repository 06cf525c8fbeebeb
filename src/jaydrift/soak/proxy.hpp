#ifndef JAYDRIFT_SOAK_PROXY_HPP
#define JAYDRIFT_SOAK_PROXY_HPP

#include <jaydrift/soak/link_mode.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace jaydrift::soak {

class shared_rate;

/// Forwards TCP connections to a loopback port, or injects link faults into
/// them. Its functions must be called on the thread that runs `context`, or
/// while no thread does.
class proxy
{
public:
    /// Listens on a loopback port that the kernel chooses. `context` and
    /// `shared`, the link of the mode `shared`, must outlive the object.
    proxy(boost::asio::io_context& context, unsigned short target_port,
          shared_rate& shared);
    proxy(proxy const&) = delete;
    proxy& operator=(proxy const&) = delete;

    /// Resets all connections.
    ~proxy();

    unsigned short port() const;

    /// Sets the mode of open and new connections. A connection that was silent
    /// or one-way stays so: bytes are missing from its stream.
    /// `bytes_per_second` is the limit of the answers of each connection in
    /// the mode `slow`, and of all in the mode `shared`, and must be above 0
    /// there.
    void set(link_mode mode, std::size_t bytes_per_second = 0);

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_PROXY_HPP
