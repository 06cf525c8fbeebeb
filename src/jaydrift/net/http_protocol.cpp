#include "http_protocol.hpp"

#include "http_check.hpp"
#include "http_refusal.hpp"
#include "http_socket.hpp"
#include "poll_until.hpp"

#include <jaydrift/net/net_error.hpp>

#include <httplib.h>

#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::net {

namespace {

/// Largest request line and headers of a request.
constexpr std::size_t max_header_bytes = std::size_t{64} << 10;
constexpr std::size_t max_path_bytes = 2048;

/// Lets cpp-httplib read and write through an `http_socket`, which must outlive
/// the stream. The sockets of the library poll idle connections every 10 ms,
/// and limit the time of single reads only.
class httplib_stream : public httplib::Stream
{
public:
    /// `transfer_timeout`: longest time to write a whole response, counted from
    /// its first byte; without it, the socket keeps its deadline.
    httplib_stream(http_socket& socket, std::optional<time_ms> transfer_timeout)
        : socket_(socket), transfer_timeout_(transfer_timeout)
    {
    }

    bool is_readable() const override { return true; }
    bool is_writable() const override { return socket_.wait_writable(); }

    ssize_t read(char* out, std::size_t size) override
    {
        return socket_.read({out, size});
    }

    ssize_t write(char const* bytes, std::size_t size) override
    {
        if (transfer_timeout_)
        {
            socket_.set_deadline(monotonic_now() + *transfer_timeout_);
            transfer_timeout_.reset();
        }
        return socket_.write({bytes, size});
    }

    void get_remote_ip_and_port(std::string&, int&) const override {}
    void get_local_ip_and_port(std::string&, int&) const override {}
    socket_t socket() const override { return -1; }

private:
    http_socket& socket_;
    std::optional<time_ms> transfer_timeout_;
};

http_headers copy_headers(httplib::Headers const& headers)
{
    return {headers.begin(), headers.end()};
}

/// Returns all values of a header.
std::vector<std::string> header_values(httplib::Request const& request,
                                       char const* name)
{
    std::vector<std::string> found;
    auto const [begin, end] = request.headers.equal_range(name);
    std::for_each(begin, end, [&found](auto const& header) {
        found.push_back(header.second);
    });
    return found;
}

/// Checks a request whose headers have been read, and changes headers that
/// cpp-httplib would act on. Returns how many bytes may be read for the body.
///
/// @throws http_refusal if the request is not allowed.
std::size_t check_request(httplib::Request& request, std::size_t max_body_bytes)
{
    if (request.path.size() > max_path_bytes)
    {
        throw http_refusal(414, "the path is too long");
    }
    auto const body_limit =
        check_body_headers({header_values(request, "Content-Length"),
                            header_values(request, "Transfer-Encoding"),
                            header_values(request, "Content-Encoding")},
                           max_body_bytes);
    if (body_limit > 0 && (request.method == "GET" || request.method == "HEAD"))
    {
        throw http_refusal(400, "a body is not expected");
    }
    if (body_limit == 0)
    {
        // Without a length, cpp-httplib would read until the client closes.
        request.headers.erase("Content-Length");
        request.headers.emplace("Content-Length", "0");
    }
    // cpp-httplib would parse forms, compress responses and send only ranges of
    // them.
    request.headers.erase("Content-Type");
    request.headers.erase("Accept-Encoding");
    request.ranges.clear();
    return body_limit;
}

/// Reads the body of a request.
///
/// @throws http_refusal if it is larger than `max_body_bytes` or incomplete.
std::string read_body(httplib::Request const& request,
                      httplib::ContentReader const& reader,
                      std::size_t max_body_bytes)
{
    std::string body;
    auto const length =
        request.get_header_value<std::uint64_t>("Content-Length");
    body.reserve(std::min<std::uint64_t>(length, max_body_bytes));
    bool const complete = reader([&](char const* bytes, std::size_t size) {
        body.append(bytes, size);
        return body.size() <= max_body_bytes;
    });
    if (body.size() > max_body_bytes)
    {
        throw http_refusal(413, "the body is too large");
    }
    if (!complete)
    {
        throw http_refusal(400, "the body is incomplete");
    }
    return body;
}

void fill_response(http_response response, httplib::Response& out)
{
    out.status = response.status;
    for (auto const& [name, value] : response.headers)
    {
        out.set_header(name, value);
    }
    out.body = std::move(response.body);
}

/// Lets a refusal pass to `http_protocol::serve`; any other exception of the
/// handler becomes status 500.
void handle_exception(httplib::Request const&, httplib::Response& out,
                      std::exception_ptr const& error)
{
    try
    {
        std::rethrow_exception(error);
    }
    catch (http_refusal const&)
    {
        throw;
    }
    catch (...)
    {
        fill_response({500, {}, "internal error\n"}, out);
    }
}

/// Sends the response to a refused request; gives up after `timeout`.
void send_refusal(http_socket& socket, time_ms timeout,
                  http_refusal const& refusal)
{
    socket.set_deadline(monotonic_now() + timeout);
    std::string const response =
        format_refusal(refusal.status(), refusal.what());
    std::string_view unsent = response;
    while (!unsent.empty())
    {
        auto const size = socket.write(unsent);
        if (size <= 0)
        {
            return;
        }
        unsent.remove_prefix(static_cast<std::size_t>(size));
    }
    socket.linger();
}

} // namespace

/// Passes each request that cpp-httplib has parsed to the handler.
class http_protocol::httplib_server : public httplib::Server
{
public:
    using httplib::Server::process_request;

    httplib_server(std::size_t max_body_bytes,
                   http_server::handler handle_request)
        : max_body_bytes_(max_body_bytes),
          handle_request_(std::move(handle_request))
    {
        char const* const any_path = R"([\s\S]*)";
        auto const respond_without_body = [this](auto const& request,
                                                 auto& out) {
            respond(request, std::string(), out);
        };
        auto const respond_with_body = [this](auto const& request, auto& out,
                                              auto const& reader) {
            respond(request, read_body(request, reader, max_body_bytes_), out);
        };
        Get(any_path, respond_without_body);
        Post(any_path, respond_with_body);
        Put(any_path, respond_with_body);
        Delete(any_path, respond_with_body);
        set_exception_handler(handle_exception);
    }

private:
    void respond(httplib::Request const& request, std::string body,
                 httplib::Response& out) const
    {
        fill_response(
            handle_request_({request.method,
                             request.path,
                             copy_headers(request.headers),
                             std::move(body),
                             {request.params.begin(), request.params.end()}}),
            out);
    }

    std::size_t max_body_bytes_;
    http_server::handler handle_request_;
};

http_protocol::http_protocol(http_settings const& settings,
                             http_server::handler handle_request)
    : server_(std::make_unique<httplib_server>(settings.max_body_bytes,
                                               std::move(handle_request))),
      settings_(settings)
{
}

http_protocol::~http_protocol() = default;

bool http_protocol::serve(http_socket& socket, bool close_after_response) const
{
    socket.set_deadline(monotonic_now() + settings_.transfer_timeout);
    socket.set_read_limit(max_header_bytes, 431);
    httplib_stream stream(socket, settings_.transfer_timeout);
    bool well_formed = false;
    bool connection_closed = false;
    try
    {
        bool const answered = server_->process_request(
            stream, close_after_response, connection_closed,
            [&](httplib::Request& request) {
                auto const body_limit =
                    check_request(request, settings_.max_body_bytes);
                socket.set_read_limit(body_limit, 413);
                well_formed = true;
            });
        if (!well_formed)
        {
            // cpp-httplib has refused a request that was not read completely.
            socket.linger();
        }
        return answered && well_formed && !connection_closed
               && !close_after_response;
    }
    catch (http_refusal const& refusal)
    {
        send_refusal(socket, settings_.write_timeout, refusal);
        return false;
    }
}

namespace {

/// Makes the function public that sends a request over a given stream.
class httplib_client : public httplib::ClientImpl
{
public:
    using httplib::ClientImpl::ClientImpl;
    using httplib::ClientImpl::process_request;
};

} // namespace

http_response send_post(http_socket& socket, std::string_view host,
                        std::string_view path, http_headers const& headers,
                        std::string_view body)
{
    httplib_client client{std::string(host)};
    client.set_decompress(false);
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = {headers.begin(), headers.end()};
    request.body = body;
    httplib::Response response;
    auto error = httplib::Error::Success;
    httplib_stream stream(socket, std::nullopt);
    try
    {
        if (client.process_request(stream, request, response, true, error))
        {
            return {response.status, copy_headers(response.headers),
                    std::move(response.body)};
        }
    }
    catch (std::exception const& failure)
    {
        throw net_error(failure.what());
    }
    throw net_error("the connection broke before the whole response arrived: "
                    + httplib::to_string(error));
}

} // namespace jaydrift::net
