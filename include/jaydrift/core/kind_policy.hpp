#ifndef JAYDRIFT_CORE_KIND_POLICY_HPP
#define JAYDRIFT_CORE_KIND_POLICY_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/task_class.hpp>

#include <string>

namespace jaydrift {

/// How work of one kind is treated.
struct kind_policy
{
    std::string kind;
    task_class priority = task_class::batch;

    /// Declares that work may be repeated after a possible start. The daemons
    /// store and show the declaration; no decision depends on it.
    bool idempotent = false;

    /// Demand of one urgent request; batch jobs declare their own.
    resources demand;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_KIND_POLICY_HPP
