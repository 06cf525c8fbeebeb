#include "rpc_loop.hpp"

#include "endpoint.hpp"

#include <jaydrift/net/net_error.hpp>

#include <kj/debug.h>

#include <exception>
#include <type_traits>
#include <utility>

namespace jaydrift::net {

namespace {

/// Runs `work` and passes its result or exception to another thread through
/// `result`. A KJ exception must not leave its thread, so it is converted to a
/// `net_error`.
template<class Value, class Work>
void fulfill(std::promise<Value>& result, Work const& work)
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
    // The thread shares ownership of the promise, because `set_value` may still
    // be running when `get` returns.
    auto const ready = std::make_shared<std::promise<void>>();
    thread_ = std::thread([this, ready] { run_thread(*ready); });
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
    auto future = result->get_future();
    queue_->post(
        [result = std::move(result), &work] { fulfill(*result, work); });
    try
    {
        return future.get();
    }
    catch (std::future_error const&)
    {
        throw net_error("the RPC thread has stopped");
    }
}

kj::Own<kj::NetworkAddress> rpc_loop::resolve(std::string_view text)
{
    auto const parsed = parse_endpoint(text);
    return io_->provider->getNetwork().getSockaddr(&parsed.address,
                                                   parsed.address_size);
}

void rpc_loop::run_thread(std::promise<void>& ready)
{
    fulfill(ready, [this] { set_up(); });
    if (tasks_)
    {
        process_queue().wait(io_->waitScope);
    }
    tear_down();
}

void rpc_loop::set_up()
{
    io_ = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo());
    wake_stream_ = io_->lowLevelProvider->wrapInputFd(queue_->wake_fd());
    tasks_.reset(new kj::TaskSet(*this));
}

void rpc_loop::tear_down()
{
    // Destroying work that was posted before the stop makes its calls fail.
    queue_->take_all().clear();
    tasks_.reset();
    shared_objects_.clear();
    retained_objects_.clear();
    wake_stream_ = nullptr;
    io_.reset();
}

kj::Promise<void> rpc_loop::process_queue()
{
    return wake_stream_->read(&wake_count_, sizeof wake_count_)
        .then([this]() -> kj::Promise<void> {
            if (queue_->closed())
            {
                return kj::READY_NOW;
            }
            for (auto const& item : queue_->take_all())
            {
                item();
            }
            return process_queue();
        });
}

void rpc_loop::taskFailed(kj::Exception&& exception)
{
    // Promises given to `spawn` handle their own failures, so one that gets
    // here is a defect in this library.
    KJ_LOG(ERROR, exception);
}

} // namespace jaydrift::net
