#include <jaydrift/schedule/usable_workers.hpp>

#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>

namespace jaydrift::schedule {

worker_group usable_workers::of(placement_request const& request)
{
    auto const& label = request.spec.required_label;
    auto const known =
        std::find_if(groups_.begin(), groups_.end(), [&](group const& each) {
            return each.service == request.service
                   && each.required_label == label;
        });
    if (known != groups_.end())
    {
        return {known->usable, known->refusal};
    }
    auto& added = groups_.emplace_back(group{request.service, label, {}});
    for (auto& [id, worker] : ctx_.shard.workers)
    {
        if (!workers::matches_step(worker.entry, request.service, request.spec))
        {
            continue;
        }
        if (workers::usable(ctx_, worker))
        {
            added.usable.push_back(&worker);
        }
        else
        {
            added.refusal = wait_reason::no_usable_worker;
        }
    }
    return {added.usable, added.refusal};
}

} // namespace jaydrift::schedule
