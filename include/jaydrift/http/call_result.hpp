#ifndef JAYDRIFT_HTTP_CALL_RESULT_HPP
#define JAYDRIFT_HTTP_CALL_RESULT_HPP

#include <jaydrift/core/reply_progress.hpp>
#include <jaydrift/http/response.hpp>

#include <cstdint>

namespace jaydrift::http {

/// Result of an HTTP call.
struct call_result
{
    /// How far the call got.
    enum class outcome_kind : std::uint8_t
    {
        /// The whole response arrived, with any status.
        answered,

        /// No byte of the request was sent.
        not_sent,

        /// Some of the request may have been sent, so the server may have
        /// handled it.
        lost
    };

    outcome_kind outcome = outcome_kind::lost;

    /// Filled if the call was answered.
    response reply;

    /// How much of the response arrived, also if the call was lost.
    reply_progress progress = {};
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_CALL_RESULT_HPP
