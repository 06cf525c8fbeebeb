#ifndef JAYDRIFT_NET_HTTP_REFUSAL_HPP
#define JAYDRIFT_NET_HTTP_REFUSAL_HPP

#include <stdexcept>
#include <string>

namespace jaydrift::net {

/// Thrown when a request is refused before it reaches the handler. The message
/// is the reason that the client gets.
class http_refusal : public std::runtime_error
{
public:
    http_refusal(int status, std::string const& reason)
        : std::runtime_error(reason), status_(status)
    {
    }

    /// HTTP status of the refusal.
    int status() const { return status_; }

private:
    int status_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_REFUSAL_HPP
