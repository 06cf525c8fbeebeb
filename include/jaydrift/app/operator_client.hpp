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

/// Calls the operator interface of the daemon at `address`, `ip:port`, and
/// waits at most `timeout` for the result.
template<class Transport>
concept operator_transport = requires(Transport& transport, std::string address,
                                      operator_request request, time_ms timeout)
{
    {
        transport.call(address, request, timeout)
        } -> std::same_as<net::rpc_result<operator_reply>>;
};

/// Calls the first daemon of a list that can be reached, and repeats a call
/// whose answer was lost. Requests that change something carry a token or an
/// ID, so a repeated call does not take effect twice.
template<operator_transport Transport>
class operator_client
{
public:
    /// Called before a call is repeated, with the reason why the answer was
    /// lost.
    using retry_callback = std::function<void(std::string_view reason)>;

    /// `daemons` are operator addresses in the order in which they are tried;
    /// `timeout` limits each attempt.
    ///
    /// @pre `daemons` is not empty; `transport` outlives the client.
    operator_client(Transport& transport, std::vector<std::string> daemons,
                    time_ms timeout, retry_callback on_retry)
        : transport_(transport), daemons_(std::move(daemons)),
          timeout_(timeout), on_retry_(std::move(on_retry))
    {
    }

    /// Returns the reply of a daemon.
    ///
    /// @throws operator_error if no daemon can be reached or the answers to all
    /// attempts were lost.
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
            on_retry_(reason);
        }
    }

private:
    static constexpr std::size_t max_attempts = 3;

    /// Tries the daemons in turn, beginning with the one called last. Returns
    /// the result of the first that the request may have reached: its reply, or
    /// the failure by which its answer was lost.
    ///
    /// @throws operator_error if the request was sent to none of them.
    net::rpc_result<operator_reply>
    call_reachable(operator_request const& request)
    {
        std::string failures;
        for (std::size_t tried = 0; tried < daemons_.size(); ++tried)
        {
            auto const& daemon = daemons_[current_];
            auto result = transport_.call(daemon, request, timeout_);
            auto const* failure = std::get_if<net::rpc_failure>(&result);
            if (failure == nullptr || !failure->never_sent)
            {
                return result;
            }
            failures += (failures.empty() ? "" : "; ") + daemon + ": "
                        + failure->reason;
            current_ = (current_ + 1) % daemons_.size();
        }
        throw operator_error("no daemon can be reached (" + failures
                             + "); check --daemon");
    }

    Transport& transport_;
    std::vector<std::string> const daemons_;
    time_ms const timeout_;
    retry_callback on_retry_;
    /// Index in `daemons_` of the daemon that is called first.
    std::size_t current_ = 0;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_CLIENT_HPP
