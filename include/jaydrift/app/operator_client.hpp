#ifndef JAYDRIFT_APP_OPERATOR_CLIENT_HPP
#define JAYDRIFT_APP_OPERATOR_CLIENT_HPP

#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <jaydrift/app/operator_error.hpp>
#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/rpc_result.hpp>

namespace jaydrift::app {

/// Calls a daemon's operator interface and waits for the result.
template<class Transport>
concept operator_transport = requires(Transport& transport, std::string address,
                                      operator_request request, time_ms timeout)
{
    {
        transport.call(address, request, timeout)
        } -> std::same_as<net::rpc_result<operator_reply>>;
};

/// Calls the first daemon of a list that can be reached, and repeats a call
/// whose answer was lost. Requests carry a token or an ID, so a repeat does
/// not take effect twice.
template<operator_transport Transport>
class operator_client
{
public:
    /// Told why an answer was lost before the call is repeated.
    using repeat_notice = std::function<void(std::string_view reason)>;

    /// @pre `daemons` is not empty; `transport` outlives the client.
    operator_client(Transport& transport, std::vector<std::string> daemons,
                    time_ms timeout, repeat_notice notice)
        : transport_(transport), daemons_(std::move(daemons)),
          timeout_(timeout), notice_(std::move(notice))
    {
    }

    /// Returns the reply of a daemon.
    ///
    /// @throws operator_error if no daemon replied.
    operator_reply call(operator_request const& request)
    {
        for (std::size_t attempt = 1;; ++attempt)
        {
            auto result = call_reachable(request);
            if (auto* reply = std::get_if<operator_reply>(&result))
            {
                return std::move(*reply);
            }
            auto const& reason = std::get<net::rpc_failure>(result).reason;
            if (attempt == max_attempts)
            {
                throw operator_error("no answer arrived (" + reason
                                     + "), so the command may have taken "
                                       "effect");
            }
            notice_(reason);
        }
    }

private:
    static constexpr std::size_t max_attempts = 3;

    /// Returns the reply or loss of the first daemon that the request may have
    /// reached, beginning with the one called last.
    net::rpc_result<operator_reply>
    call_reachable(operator_request const& request)
    {
        std::string unreachable;
        for (std::size_t tried = 0; tried < daemons_.size(); ++tried)
        {
            auto const& daemon = daemons_[next_];
            auto result = transport_.call(daemon, request, timeout_);
            auto const* failure = std::get_if<net::rpc_failure>(&result);
            if (failure == nullptr || !failure->never_sent)
            {
                return result;
            }
            unreachable += (unreachable.empty() ? "" : "; ") + daemon + ": "
                           + failure->reason;
            next_ = (next_ + 1) % daemons_.size();
        }
        throw operator_error("no daemon can be reached (" + unreachable
                             + "); check --daemon");
    }

    Transport& transport_;
    std::vector<std::string> const daemons_;
    time_ms const timeout_;
    repeat_notice notice_;
    std::size_t next_ = 0;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_CLIENT_HPP
