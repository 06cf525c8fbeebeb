#include "rpc_loop.hpp"

#include "endpoint.hpp"

#include <jaydrift/net/net_error.hpp>

#include <kj/debug.h>

#include <exception>
#include <type_traits>
#include <utility>

namespace jaydrift::net {

namespace {

/// Runs `work` and passes its result or exception to another thread. A KJ
/// exception may not leave its thread, so it becomes a `net_error`.
template<class Value, class Work>
void deliver(std::promise<Value>& result, Work const& work)
{
    try
    {
        if constexpr (std::is_void_v<Value>)
        {
            work();
            result.set_value();
        }
        else
        {
            result.set_value(work());
        }
    }
    catch (kj::Exception const& error)
    {
        result.set_exception(
            std::make_exception_ptr(net_error(error.getDescription().cStr())));
    }
    catch (...)
    {
        result.set_exception(std::current_exception());
    }
}

} // namespace

rpc_loop::rpc_loop() : queue_(std::make_shared<work_queue>())
{
    // The thread shares the promise, because `set_value` may still run when
    // the future has the value.
    auto const ready = std::make_shared<std::promise<void>>();
    thread_ = std::thread([this, ready] { serve(*ready); });
    try
    {
        ready->get_future().get();
    }
    catch (...)
    {
        thread_.join();
        throw;
    }
}

rpc_loop::~rpc_loop() { stop(); }

void rpc_loop::stop()
{
    queue_->close();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::uint16_t rpc_loop::run(std::function<std::uint16_t()> const& work)
{
    if (std::this_thread::get_id() == thread_.get_id())
    {
        return work();
    }
    auto result = std::make_shared<std::promise<std::uint16_t>>();
    auto value = result->get_future();
    queue_->post(
        [result = std::move(result), &work] { deliver(*result, work); });
    try
    {
        return value.get();
    }
    catch (std::future_error const&)
    {
        throw net_error("the RPC thread has stopped");
    }
}

kj::Own<kj::NetworkAddress> rpc_loop::address(std::string_view text)
{
    auto const target = parse_endpoint(text);
    return io_->provider->getNetwork().getSockaddr(&target.address,
                                                   target.size);
}

void rpc_loop::serve(std::promise<void>& ready)
{
    deliver(ready, [this] { open(); });
    if (tasks_)
    {
        serve_queue().wait(io_->waitScope);
    }
    close();
}

void rpc_loop::open()
{
    io_ = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo());
    wake_ = io_->lowLevelProvider->wrapInputFd(queue_->wake_fd());
    tasks_.reset(new kj::TaskSet(*this));
}

void rpc_loop::close()
{
    // Work that was posted before the stop fails its calls here.
    queue_->take().clear();
    tasks_.reset();
    parts_.clear();
    kept_.clear();
    wake_ = nullptr;
    io_.reset();
}

kj::Promise<void> rpc_loop::serve_queue()
{
    return wake_->read(&wakes_, sizeof wakes_)
        .then([this]() -> kj::Promise<void> {
            if (queue_->closed())
            {
                return kj::READY_NOW;
            }
            for (auto const& item : queue_->take())
            {
                item();
            }
            return serve_queue();
        });
}

void rpc_loop::taskFailed(kj::Exception&& exception)
{
    // Tasks handle their own failures; one that gets here is a fault.
    KJ_LOG(ERROR, exception);
}

} // namespace jaydrift::net
