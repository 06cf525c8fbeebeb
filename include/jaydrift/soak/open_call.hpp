#ifndef JAYDRIFT_SOAK_OPEN_CALL_HPP
#define JAYDRIFT_SOAK_OPEN_CALL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace jaydrift::soak {

/// A caller's call to a daemon that has not ended.
struct open_call
{
    /// What the caller asks for. `show` queries the state of a submission;
    /// `probe_extra_queue` calls a queue that the operators add and remove.
    enum class purpose_kind : std::uint8_t
    {
        submit,
        show,
        cancel,
        probe_extra_queue
    };

    purpose_kind purpose = purpose_kind::submit;
    /// Submission; empty for a probe.
    std::string id;
    std::size_t daemon = 0;
    /// How often the call was sent, this time included.
    std::uint32_t tries = 0;
    time_ms sent_at;

    /// Sent to the queue below the prefix of the usual one. It may be unknown.
    bool nested = false;

    /// An earlier try was lost after it was sent, or got an unexpected status,
    /// and may have been carried out: a refusal now proves nothing.
    bool maybe_carried_out = false;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_OPEN_CALL_HPP
