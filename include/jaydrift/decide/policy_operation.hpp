#ifndef JAYDRIFT_DECIDE_POLICY_OPERATION_HPP
#define JAYDRIFT_DECIDE_POLICY_OPERATION_HPP

#include <jaydrift/core/apply_policy.hpp>
#include <jaydrift/core/set_zone.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/undo_policy.hpp>
#include <jaydrift/decide/policy_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace jaydrift::decide {

/// A change of the policy that is being written or distributed.
struct policy_operation
{
    /// Phase of the change. A write whose reply was lost is repeated with the
    /// same revision, which the store applies at most once.
    enum class phase
    {
        reading,
        writing,
        distributing
    };

    std::variant<apply_policy, undo_policy, set_zone> change;

    /// Open call of the operator; absent after it was answered.
    std::optional<std::uint64_t> call;
    phase current_phase = phase::reading;
    time_ms started_at;
    time_ms retry_at;

    /// Correlation number of the store call in flight; 0 means none.
    std::uint64_t correlation = 0;

    /// The result of a write that was sent is not known.
    bool maybe_written = false;

    /// Record of the last write, and the revision of the key that it replaces.
    policy_record written;
    std::uint64_t replaced_revision = 0;

    /// Version that the change created; 0 until it is durable.
    std::uint64_t version = 0;

    /// The change was refused or conflicts with a newer version, so it is not
    /// tried again.
    bool done = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_POLICY_OPERATION_HPP
