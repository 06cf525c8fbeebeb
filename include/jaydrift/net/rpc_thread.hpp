#ifndef JAYDRIFT_NET_RPC_THREAD_HPP
#define JAYDRIFT_NET_RPC_THREAD_HPP

#include <functional>
#include <memory>

namespace jaydrift::net {

class rpc_loop;

/// One traffic thread with a Cap'n Proto event loop that waits in poll. It owns
/// the connections and servers of `call` and `serve`.
class rpc_thread
{
public:
    rpc_thread();
    rpc_thread(rpc_thread const&) = delete;
    rpc_thread& operator=(rpc_thread const&) = delete;

    /// Calls `stop`.
    ~rpc_thread();

    /// Runs `work` on the thread; after `stop`, `work` is destroyed unrun.
    void post(std::function<void()> work);

    /// Closes every connection and server and joins the thread. Calls without
    /// a reply fail before it returns. Must not be called on the thread.
    void stop();

    /// The thread's event loop; for the functions of this library.
    rpc_loop& loop() { return *loop_; }

private:
    std::unique_ptr<rpc_loop> loop_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_THREAD_HPP
