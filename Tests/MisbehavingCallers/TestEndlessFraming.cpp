/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/MisbehavingCallers/HostProcess.h>

using namespace Test;

/// Enough that all that a caller sends does not fit into the host's memory.
static constexpr size_t sent_megabytes = 32;
static constexpr size_t piece_bytes = 1 << 16;
static constexpr size_t pieces = sent_megabytes * 1'000'000 / piece_bytes;
static constexpr size_t callers = 4;

static std::shared_ptr<std::string const> letters(char letter)
{
    return std::make_shared<std::string const>(piece_bytes, letter);
}

static std::shared_ptr<std::string const> trailer_fields()
{
    constexpr size_t value_bytes = 1000;
    std::string fields;
    while (fields.size() < piece_bytes)
        fields += "X-Padding: " + std::string(value_bytes, 'x') + "\r\n";
    return std::make_shared<std::string const>(std::move(fields));
}

/// Lets the crowd send a chunked body that goes on as `bytes` says.
static void gather(HostProcess& host, Http::tcp::endpoint const& endpoint, std::string const& body_start,
    std::shared_ptr<std::string const> const& repeated)
{
    host.gather(callers, endpoint, [&](size_t number) {
        return CallerBytes { HostProcess::chunked_head_of(HostProcess::attempt_of(number)) + body_start, repeated,
            pieces, {} };
    });
}

SCENARIO("trailers without end", "[trailers]")
{
    HostProcess host;
    auto const callers_endpoint = host.platform.callers_endpoint;
    GIVEN("callers whose trailer fields go on")
    {
        gather(host, callers_endpoint, "4\r\nbody\r\n0\r\n", trailer_fields());
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
    }
    GIVEN("callers with one trailer field that goes on")
    {
        gather(host, callers_endpoint, "4\r\nbody\r\n0\r\nX-Padding: ", letters('x'));
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
    }
}

SCENARIO("chunk heads without end", "[chunk-heads]")
{
    HostProcess host;
    auto const callers_endpoint = host.platform.callers_endpoint;
    GIVEN("callers with a chunk extension that goes on")
    {
        gather(host, callers_endpoint, "4;extension=", letters('x'));
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
    }
    GIVEN("callers whose chunk size goes on with zeros")
    {
        gather(host, callers_endpoint, {}, letters('0'));
        host.check_that_host_withstands_crowd();
        CHECK_FALSE(host.crowd_has_run());
    }
}

SCENARIO("trailers without end at the host's other addresses", "[trailers-elsewhere]")
{
    HostProcess host;
    auto const endpoint = host.other_endpoints().at(GENERATE(0U, 1U, 2U));
    gather(host, endpoint, "4\r\nbody\r\n0\r\n", trailer_fields());
    host.check_that_host_withstands_crowd();
    CHECK_FALSE(host.crowd_has_run());
}
