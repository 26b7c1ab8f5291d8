/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/MisbehavingCallers/BodyPieces.h>

using namespace Test;

static constexpr size_t max_body = HostProcess::max_body_bytes;
/// Their bodies together do not fit into the host's memory.
static constexpr size_t callers = 64;

SCENARIO("many bodies that stop just short of their end", "[open-bodies]")
{
    HostProcess host;
    auto const endpoint = host.platform.callers_endpoint;
    GIVEN("callers with large chunks")
    {
        ChunkedBody const body(max_body, large_piece_bytes);
        constexpr size_t rest_of_chunk = 3;
        host.gather(callers, endpoint,
            [&](size_t number) { return body.bytes_of(HostProcess::attempt_of(number), rest_of_chunk); });
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
        host.check_refusals();
    }
    GIVEN("callers with chunks of one byte")
    {
        ChunkedBody const body(max_body, 1);
        constexpr size_t rest_of_chunk = 3;
        host.gather(callers, endpoint,
            [&](size_t number) { return body.bytes_of(HostProcess::attempt_of(number), rest_of_chunk); });
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
        host.check_refusals();
    }
    GIVEN("callers that have announced the length")
    {
        host.gather(callers, endpoint,
            [&](size_t number) { return bytes_with_length(HostProcess::attempt_of(number), max_body, max_body - 1); });
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
        host.check_refusals();
    }
}

SCENARIO("many open bodies at the host's other addresses", "[open-bodies-elsewhere]")
{
    HostProcess host;
    auto const endpoint = host.other_endpoints().at(GENERATE(0U, 1U, 2U));
    host.gather(callers, endpoint,
        [&](size_t number) { return bytes_with_length(HostProcess::attempt_of(number), max_body, max_body - 1); });
    host.check_that_host_withstands_crowd();
    CHECK_FALSE(host.crowd_has_run());
}

SCENARIO("bodies far over the limit", "[oversized-bodies]")
{
    HostProcess host;
    auto const endpoint = host.platform.callers_endpoint;
    constexpr size_t sent = 8 * max_body;
    GIVEN("callers that announce the length, and send on")
    {
        host.gather(callers, endpoint,
            [&](size_t number) { return bytes_with_length(HostProcess::attempt_of(number), 64 * max_body, sent); });
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
    }
    GIVEN("callers that send chunk after chunk")
    {
        ChunkedBody const body(sent, large_piece_bytes);
        host.gather(
            callers, endpoint, [&](size_t number) { return body.bytes_of(HostProcess::attempt_of(number), 0); });
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
    }
}

SCENARIO("many whole bodies for servers that do not answer", "[bodies-in-flight]")
{
    HostProcess host;
    for (auto& runner : host.platform.runners) {
        for (size_t i = 0; i < callers && runner.id() != "tariff-1"; ++i)
            runner.add_fault(PlatformRunner::Fault::Hang);
    }
    host.gather(callers, host.platform.callers_endpoint,
        [&](size_t number) { return bytes_with_length(HostProcess::attempt_of(number), max_body, max_body); });
    host.check_that_host_withstands_crowd();
    host.check_refusals();
}

SCENARIO("requests within the limits are served in calm", "[within-limits]")
{
    HostProcess host;
    auto const endpoint = host.platform.callers_endpoint;
    auto serve = [&](CallerBytes const& bytes) {
        host.gather(1, endpoint, [&](size_t) { return bytes; });
        host.until([&] { return host.crowd.back()->status() != 0 || host.crowd.back()->has_ended(); });
        CHECK(host.crowd.back()->status() == 200);
        CHECK(host.has_run("limit-1"));
    };
    auto body_of_run = [&] {
        for (auto const& runner : host.platform.runners) {
            for (auto const& received : runner.received()) {
                if (received.attempt == "limit-1")
                    return received.body.size();
            }
        }
        return size_t(0);
    };
    WHEN("a body of the maximum size arrives with a length")
    {
        serve(bytes_with_length("limit-1", max_body, max_body));
        CHECK(body_of_run() == max_body);
    }
    WHEN("a body of the maximum size arrives in chunks")
    {
        auto const chunk_bytes = GENERATE(size_t(1), large_piece_bytes);
        auto bytes = ChunkedBody(max_body, chunk_bytes).bytes_of("limit-1", 0);
        bytes.end += "0\r\n\r\n";
        serve(bytes);
        CHECK(body_of_run() == max_body);
    }
    WHEN("the head and the trailer of a chunked body are together about as large as a head may be")
    {
        std::string const trailer(HostProcess::max_head_bytes - 500, 'x');
        serve({ HostProcess::chunked_head_of("limit-1") + "4\r\nbody\r\n0\r\nX-Trailer: " + trailer + "\r\n\r\n", {}, 0,
            {} });
        CHECK(body_of_run() == 4);
    }
    WHEN("a head is as large as it may be")
    {
        auto head = HostProcess::head_of("limit-1", "Content-Length: 0\r\nX-Padding: ");
        head.insert(head.size() - 4, HostProcess::max_head_bytes - head.size(), 'x');
        serve({ head, {}, 0, {} });
    }
    CHECK(host.ordinary_status() == 200);
}
