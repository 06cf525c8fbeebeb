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

constexpr std::size_t max_header_bytes = std::size_t{64} << 10;
constexpr std::size_t max_path_bytes = 2048;

/// Lets the library read and write through our sockets. Its own sockets poll
/// idle connections every 10 ms and bound only single reads in time.
class library_stream : public httplib::Stream
{
public:
    /// `write_limit`: longest time for writing a whole answer, counted from
    /// its first byte.
    library_stream(http_socket& socket, std::optional<time_ms> write_limit)
        : socket_(socket), write_limit_(write_limit)
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
        if (write_limit_)
        {
            socket_.set_deadline(socket_now() + *write_limit_);
            write_limit_.reset();
        }
        return socket_.write({bytes, size});
    }

    void get_remote_ip_and_port(std::string&, int&) const override {}
    void get_local_ip_and_port(std::string&, int&) const override {}
    socket_t socket() const override { return -1; }

private:
    http_socket& socket_;
    std::optional<time_ms> write_limit_;
};

http_headers copy_headers(httplib::Headers const& headers)
{
    return {headers.begin(), headers.end()};
}

std::vector<std::string> values(httplib::Request const& request,
                                char const* name)
{
    std::vector<std::string> found;
    auto const [begin, end] = request.headers.equal_range(name);
    std::for_each(begin, end, [&found](auto const& header) {
        found.push_back(header.second);
    });
    return found;
}

/// Checks a request whose headers have been read, and returns how many bytes
/// its body may have.
std::size_t check_request(httplib::Request& request, std::size_t max_body)
{
    if (request.path.size() > max_path_bytes)
    {
        throw http_refusal(414, "the path is too long");
    }
    auto const budget = check_body({values(request, "Content-Length"),
                                    values(request, "Transfer-Encoding"),
                                    values(request, "Content-Encoding")},
                                   max_body);
    if (budget > 0 && (request.method == "GET" || request.method == "HEAD"))
    {
        throw http_refusal(400, "a body is not expected");
    }
    if (budget == 0)
    {
        // Without a length, the library would read until the client leaves.
        request.headers.erase("Content-Length");
        request.headers.emplace("Content-Length", "0");
    }
    // The library would parse forms, compress answers and cut them to ranges.
    request.headers.erase("Content-Type");
    request.headers.erase("Accept-Encoding");
    request.ranges.clear();
    return budget;
}

std::string read_body(httplib::Request const& request,
                      httplib::ContentReader const& reader,
                      std::size_t max_body)
{
    std::string body;
    auto const length =
        request.get_header_value<std::uint64_t>("Content-Length");
    body.reserve(std::min<std::uint64_t>(length, max_body));
    bool const whole = reader([&](char const* bytes, std::size_t size) {
        body.append(bytes, size);
        return body.size() <= max_body;
    });
    if (body.size() > max_body)
    {
        throw http_refusal(413, "the body is too large");
    }
    if (!whole)
    {
        throw http_refusal(400, "the body is incomplete");
    }
    return body;
}

void answer_with(http_response answer, httplib::Response& out)
{
    out.status = answer.status;
    for (auto const& [name, value] : answer.headers)
    {
        out.set_header(name, value);
    }
    out.body = std::move(answer.body);
}

/// Passes a refusal on to `http_protocol::serve`.
void on_exception(httplib::Request const&, httplib::Response& out,
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
        answer_with({500, {}, "internal error\n"}, out);
    }
}

void refuse(http_socket& socket, time_ms limit, http_refusal const& refusal)
{
    socket.set_deadline(socket_now() + limit);
    std::string const answer = format_refusal(refusal.status(), refusal.what());
    std::string_view left = answer;
    while (!left.empty())
    {
        auto const size = socket.write(left);
        if (size <= 0)
        {
            return;
        }
        left.remove_prefix(static_cast<std::size_t>(size));
    }
    socket.linger();
}

} // namespace

class http_protocol::library : public httplib::Server
{
public:
    using httplib::Server::process_request;

    library(std::size_t max_body, http_server::handler handle)
        : max_body_(max_body), handle_(std::move(handle))
    {
        char const* const any_path = R"([\s\S]*)";
        auto const without_body = [this](auto const& request, auto& out) {
            run(request, std::string(), out);
        };
        auto const with_body = [this](auto const& request, auto& out,
                                      auto const& reader) {
            run(request, read_body(request, reader, max_body_), out);
        };
        Get(any_path, without_body);
        Post(any_path, with_body);
        Put(any_path, with_body);
        Delete(any_path, with_body);
        set_exception_handler(on_exception);
    }

private:
    void run(httplib::Request const& request, std::string body,
             httplib::Response& out) const
    {
        answer_with(handle_({request.method,
                             request.path,
                             copy_headers(request.headers),
                             std::move(body),
                             {request.params.begin(), request.params.end()}}),
                    out);
    }

    std::size_t max_body_;
    http_server::handler handle_;
};

http_protocol::http_protocol(http_settings const& settings,
                             http_server::handler handle)
    : library_(std::make_unique<library>(settings.max_body, std::move(handle))),
      settings_(settings)
{
}

http_protocol::~http_protocol() = default;

bool http_protocol::serve(http_socket& socket, bool close_after) const
{
    socket.set_deadline(socket_now() + settings_.transfer_timeout);
    socket.set_budget(max_header_bytes, 431);
    library_stream stream(socket, settings_.transfer_timeout);
    bool well_formed = false;
    bool closed = false;
    try
    {
        bool const answered = library_->process_request(
            stream, close_after, closed, [&](httplib::Request& request) {
                auto const body = check_request(request, settings_.max_body);
                socket.set_budget(body, 413);
                well_formed = true;
            });
        if (!well_formed)
        {
            socket.linger();
        }
        return answered && well_formed && !closed && !close_after;
    }
    catch (http_refusal const& refusal)
    {
        refuse(socket, settings_.write_timeout, refusal);
        return false;
    }
}

namespace {

class posting_client : public httplib::ClientImpl
{
public:
    using httplib::ClientImpl::ClientImpl;
    using httplib::ClientImpl::process_request;
};

} // namespace

http_response post_on(http_socket& socket, std::string_view host,
                      std::string_view path, http_headers const& headers,
                      std::string_view body)
{
    posting_client client{std::string(host)};
    client.set_decompress(false);
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = {headers.begin(), headers.end()};
    request.body = body;
    httplib::Response response;
    auto error = httplib::Error::Success;
    library_stream stream(socket, std::nullopt);
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
    throw net_error("the connection broke before the whole answer: "
                    + httplib::to_string(error));
}

} // namespace jaydrift::net
