#include <jaydrift/decide/batch_steps.hpp>

namespace jaydrift::decide::batch {

job_reply make_reply(call_status status, std::string reason, job_status job)
{
    return {status, std::move(reason), std::move(job)};
}

void answer(context& ctx, job_waiter const& waiter, job_reply const& reply)
{
    switch (waiter.from)
    {
    case job_waiter::origin::caller:
        return ctx.emit(answer_job{waiter.call, reply});
    case job_waiter::origin::peer:
        return ctx.emit(answer_peer{waiter.call, reply});
    case job_waiter::origin::operator_client:
        break;
    }
    operator_reply converted;
    converted.status = reply.status;
    converted.reason = reply.reason;
    converted.job = reply.job;
    ctx.emit(answer_operator{waiter.call, std::move(converted)});
}

void answer(context& ctx, std::span<job_waiter const> waiters,
            job_reply const& reply)
{
    for (auto const& waiter : waiters)
    {
        answer(ctx, waiter, reply);
    }
}

} // namespace jaydrift::decide::batch
