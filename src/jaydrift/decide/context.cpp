#include <jaydrift/decide/context.hpp>

#include <string>

namespace jaydrift::decide {

std::uint64_t context::ask_store(reducer_module owner, store_request request)
{
    auto const correlation = next_correlation(owner);
    emit(send_store{correlation, state.settings.store_timeout,
                    std::move(request)});
    return correlation;
}

std::uint64_t context::ask_peer(reducer_module owner, member_info const& peer,
                                peer_request request)
{
    auto const correlation = next_correlation(owner);
    emit(send_peer{peer.daemon, peer.address, correlation,
                   state.settings.peer_timeout, std::move(request)});
    return correlation;
}

std::uint64_t context::ask_worker(reducer_module owner, std::string_view worker,
                                  std::string_view address,
                                  worker_request request, time_ms timeout)
{
    auto const correlation = next_correlation(owner);
    emit(send_worker{std::string(worker), std::string(address), correlation,
                     timeout, std::move(request)});
    return correlation;
}

void context::log(log_level level, std::string_view prefix, std::string text)
{
    emit(write_log{level, std::string(prefix), std::move(text)});
}

void context::add_timeline_event(std::string_view name,
                                 std::string_view request,
                                 std::string_view task, std::string_view detail)
{
    emit(record_event{std::string(name), std::string(request),
                      std::string(task), std::string(detail)});
}

} // namespace jaydrift::decide
