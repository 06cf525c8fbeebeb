#include <jaydrift/schedule/refused_requests.hpp>

#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/step_spec.hpp>

#include <algorithm>

namespace jaydrift::schedule {

void refused_requests::add(placement_request const& request)
{
    auto const& spec = request.spec;
    // A limit per worker counts the tasks of one step, so the refusal says
    // nothing of other steps.
    if (spec.max_per_worker == 0 && !spec.long_running)
    {
        refused_.push_back({request.service, spec.required_label, spec.demand,
                            request.pace_limit, spec.opportunistic, spec.image,
                            request.tolerance});
    }
}

bool refused_requests::cover(placement_request const& request) const
{
    auto const& spec = request.spec;
    return !spec.long_running
           && std::any_of(
               refused_.begin(), refused_.end(), [&](refused const& each) {
                   return spec.opportunistic == each.opportunistic
                          && request.pace_limit == each.pace_limit
                          && fits(each.demand, spec.demand)
                          && each.service == request.service
                          && (each.required_label.empty()
                              || each.required_label == spec.required_label)
                          && (is_urgent(spec)
                              || (spec.image == each.image
                                  && request.tolerance <= each.tolerance));
               });
}

} // namespace jaydrift::schedule
