/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibHttp/ScriptedPeer.h>
#include <Tests/MisbehavingCallers/HostProcess.h>

using namespace Test;
using Http::Test::ScriptedPeer;

/// As many servers send without end at once, each to one caller.
static constexpr size_t faulty_count = 48;

namespace {

struct EndlessPart {
    std::string name;
    std::string first;
    std::string repeated;
};

/// Servers whose answers have no end, beside sound ones of another service.
class EndlessServers {
public:
    explicit EndlessServers(HostProcess& host)
        : host(host)
    {
    }

    void start(std::string const& service, EndlessPart const& part)
    {
        for (auto const* id : { "lane-1", "lane-2", "lane-3", "lane-4" })
            this->host.platform.store.remove("servers", id);
        for (size_t i = 0; i < faulty_count; ++i) {
            auto& peer = this->peers.emplace_back(this->host.platform.loop);
            peer.script_without_end(part.first, part.repeated);
            this->put_row(i, service);
        }
        auto const last = "subject=endless-" + std::to_string(faulty_count - 1) + ' ';
        this->host.until(
            [&] { return this->host.log_has("E2307 backend_server_gone subject=lane-4") && this->host.log_has(last); });
    }

private:
    void put_row(size_t number, std::string const& service)
    {
        auto const id = "endless-" + std::to_string(number);
        StandIns::PlatformRunner described(this->host.platform.loop, free_endpoint(), id);
        described.set_advertised_address(text_of(std::next(this->peers.begin(), static_cast<i64>(number))->endpoint()));
        this->host.platform.store.put("servers", id, described.row(service, "hall-a"));
    }

    HostProcess& host;
    std::list<ScriptedPeer> peers;
};

}

static std::shared_ptr<Call> call_of(HostProcess& host, size_t number, std::string const& path)
{
    auto request = HostFixture::request(path, HostProcess::attempt_of(number));
    request.set("Lilactiller-Deadline-Ms", "60000");
    return host.platform.call(std::move(request));
}

// Guards against faulty servers whose bytes without end fill the memory of the host that called them, which ends with
// the requests of all its callers.
SCENARIO("many servers answer without end at once", "[endless-answers]")
{
    HostProcess host;
    EndlessServers servers(host);
    std::string const ok = "HTTP/1.1 200 OK\r\nLilactiller-Response-Stamp: s\r\n";
    std::string const line(1000, 'x');
    auto const part = GENERATE_COPY(values<EndlessPart>({
        { "fields of a head", ok, "X-Field: " + line + "\r\n" },
        { "one field of a head", ok + "X-Field: ", line },
        { "a body with a length", ok + "Content-Length: 1000000000\r\n\r\n", line },
        { "a body until the close", ok + "\r\n", line },
        { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n" },
        { "the extension of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5;", line },
        { "trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + line + "\r\n" },
        { "informational answers", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "an answer to another request", ok + "Lilactiller-Attempt-Id: other\r\nContent-Length: 1000000000\r\n\r\n",
            line },
        { "bytes that are no answer", line, line },
    }));
    INFO(part.name);
    servers.start("lanes", part);
    std::vector<std::shared_ptr<Call>> calls;
    for (size_t number = 0; number < faulty_count; ++number)
        calls.push_back(call_of(host, number, "/uploads/1"));
    host.until([&] { return std::ranges::all_of(calls, [](auto const& call) { return call->is_over(); }); });
    THEN("each caller gets a failure, and the host serves on within its memory")
    {
        for (auto const& call : calls) {
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(call->status >= 500);
        }
        calls.clear();
        host.check_that_host_withstands_crowd();
    }
}
