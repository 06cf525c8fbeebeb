#ifndef JAYDRIFT_NET_RPC_THREAD_HPP
#define JAYDRIFT_NET_RPC_THREAD_HPP

#include <functional>
#include <memory>

namespace jaydrift::net {

class rpc_loop;

/// A traffic thread that runs a Cap'n Proto event loop and sleeps in poll while
/// there is nothing to do. It owns the connections and servers that `call` and
/// `serve` make.
class rpc_thread
{
public:
    /// Starts the thread.
    ///
    /// @throws net_error if the event loop cannot be set up.
    rpc_thread();
    rpc_thread(rpc_thread const&) = delete;
    rpc_thread& operator=(rpc_thread const&) = delete;

    /// Stops the thread as `stop` does.
    ~rpc_thread();

    /// Queues `work` to run on the thread and returns at once; `work` must not
    /// throw or block. After `stop`, `work` is destroyed without being run.
    void post(std::function<void()> work);

    /// Closes every connection and server and joins the thread. Calls without
    /// a reply fail before `stop` returns. Must not be called on the thread
    /// itself.
    void stop();

    /// The thread's event loop, for use within this library only.
    rpc_loop& loop() { return *loop_; }

private:
    std::unique_ptr<rpc_loop> loop_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_THREAD_HPP
