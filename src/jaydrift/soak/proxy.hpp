#ifndef JAYDRIFT_SOAK_PROXY_HPP
#define JAYDRIFT_SOAK_PROXY_HPP

#include <jaydrift/soak/link_mode.hpp>

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace jaydrift::soak {

/// Passes TCP connections on to a port of this machine, or harms them.
class proxy
{
public:
    /// Listens on a port that the kernel chooses.
    proxy(boost::asio::io_context& context, unsigned short target);
    proxy(proxy const&) = delete;
    proxy& operator=(proxy const&) = delete;
    ~proxy();

    unsigned short port() const;

    /// Changes what is done. Connections that went silent stay so.
    void set(link_mode mode);

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_PROXY_HPP
