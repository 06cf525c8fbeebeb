#ifndef JAYDRIFT_CORE_REQUEST_RECORD_HPP
#define JAYDRIFT_CORE_REQUEST_RECORD_HPP

#include <jaydrift/core/request_result.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// An owner's record of a request ID.
struct request_record
{
    std::string id;
    std::string worker;
    std::uint32_t attempt = 0;
    /// The request was started or may have been.
    bool started = false;
    bool finished = false;
    /// `unknown` while the request has not finished.
    request_result result;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_REQUEST_RECORD_HPP
