/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>
#include <boost/asio/write.hpp>

using Test::HostFixture;
using Fault = StandIns::PlatformRunner::Fault;

SCENARIO("a call to a plain service goes through a host on the users' platform")
{
    HostFixture fixture;
    auto& first = fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();

    WHEN("the runner responds")
    {
        auto call = fixture.finished_call(HostFixture::request("/lookup/77?lane=4", "a1"));
        THEN("the caller gets the runner's response unchanged")
        {
            CHECK(call->status == 200);
            CHECK(call->body == "answer to /lookup/77?lane=4");
            CHECK(call->headers["Lilactiller-Response-Stamp"] == "stamp-of-lane-1");
            CHECK(call->headers["Lilactiller-Attempt-Id"] == "a1");
        }
        THEN("the runner gets the caller's request, with the organisation in place of the key and the remaining time")
        {
            REQUIRE(first.received().size() == 1);
            auto received = first.received().front();
            CHECK(received.target == "/lookup/77?lane=4");
            CHECK(received.body == "question of a1");
            CHECK(received.headers["Lilactiller-Tenant"] == "plaza");
            CHECK(received.headers["Lilactiller-Target-Instance"] == "lane-1");
            CHECK_FALSE(received.headers.contains("Api-Key"));
            CHECK(std::stoi(received.headers["Lilactiller-Deadline-Ms"]) <= 3000);
        }
        THEN("the request is logged, and the metrics count it")
        {
            CHECK(fixture.log_has("event=E2001 request_received subject=a1"));
            CHECK(fixture.log_has("event=E2401 service_call_dispatched subject=a1 backend=lane-1"));
            CHECK(fixture.log_has("event=E2402 service_call_ended subject=a1 backend=lane-1 status=200"));
            CHECK(fixture.metrics_text().find("requests_total 1") != std::string::npos);
        }
    }
    WHEN("a new connection ends without a response")
    {
        first.add_fault(Fault::LoseResponse);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        THEN("the call may have run, and the runner is avoided at once")
        {
            CHECK(call->status == 502);
            CHECK(fixture.log_has("E2308 backend_server_suspected subject=lane-1 request=a1"));
        }
    }
    WHEN("a persistent connection ends without a response")
    {
        fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        first.add_fault(Fault::LoseResponse);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a2"));
        THEN("the runner may have closed it while it was idle, and is not avoided")
        {
            CHECK(call->status == 502);
            CHECK_FALSE(fixture.log_has("E2308"));
        }
    }
    WHEN("its response and its deadline come while the host gets no CPU time")
    {
        // The response has no body, so it is complete in the event loop iteration that reads its head.
        first.add_fault(Fault::Fail);
        auto request = HostFixture::request("/lookup/1", "a1");
        request.set("Lilactiller-Deadline-Ms", "30");
        auto call = fixture.call(std::move(request));
        fixture.until([&] { return first.runs().contains("a1"); });
        Test::stall_for(60ms);
        fixture.until([&] { return call->is_over(); });
        THEN("the request ends only once")
        {
            bool const is_relayed = call->status == 500;
            CHECK(fixture.log_has("E2402 service_call_ended subject=a1") == is_relayed);
            CHECK(fixture.log_has("E2002 request_refused subject=a1") != is_relayed);
        }
    }
    WHEN("the caller sends headers that only the system may set")
    {
        auto request = HostFixture::request("/lookup/1", "a2");
        for (auto const* name : { "Lilactiller-Tenant", "Lilactiller-Target-Instance", "Hold", "Pin-Ms", "Kv-Backup",
                 "Kv-From", "Priority", "Kv-Fetch" })
            request.set(name, "forged");
        fixture.finished_call(std::move(request));
        REQUIRE(first.received().size() == 1);
        for (auto const& [name, value] : first.received().front().headers)
            CHECK(value != "forged");
    }
    WHEN("the caller names a header of its own in Connection")
    {
        auto request = HostFixture::request("/lookup/1", "a2");
        request.set(Http::Name::connection, "close, X-Hop");
        request.set("X-Hop", "for this connection only");
        request.set("X-Trace", "for everybody");
        fixture.finished_call(std::move(request));
        auto headers = first.received().front().headers;
        CHECK_FALSE(headers.contains("X-Hop"));
        CHECK(headers["X-Trace"] == "for everybody");
    }
    WHEN("the only runner refuses")
    {
        first.add_fault(Fault::NotRun);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a3"));
        THEN("the response reports that the call has not run and when to retry")
        {
            CHECK(call->status == 503);
            CHECK(call->headers.contains("Retry-After"));
            CHECK(call->body.find("\"may_have_run\":false") != std::string::npos);
            CHECK(first.runs().empty());
        }
    }
    WHEN("another process responds at the runner's address")
    {
        first.add_fault(Fault::Misdirected);
        auto refused = fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        CHECK(refused->status == 503);
        THEN("no further request is sent there")
        {
            auto const seen = first.received().size();
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a2"))->status == 503);
            CHECK(first.received().size() == seen);
            CHECK(fixture.log_has("E2306 backend_server_changed subject=lane-1 state=ended"));
        }
        AND_WHEN("the list has a later start of the runner")
        {
            first.set_start(1'790'000'005'000);
            fixture.store.put("servers", "lane-1", first.row("lanes", "hall-a"));
            fixture.until([&] { return fixture.log_has("start=1790000005000"); });
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a3"))->status == 200);
        }
    }
    WHEN("another writer corrupts the runner's entry")
    {
        fixture.store.put("servers", "lane-1", R"({"service":"lanes","addr":17})");
        fixture.until([&] { return fixture.log_has("E1304 platform_content_rejected subject=lane-1"); });
        CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a1"))->status == 503);
        AND_WHEN("the entry is restored")
        {
            fixture.store.put("servers", "lane-1", first.row("lanes", "hall-a"));
            fixture.until(
                [&] { return fixture.finished_call(HostFixture::request("/lookup/1", "a2"))->status == 200; });
        }
    }
    WHEN("the response to an at-most-once call is lost")
    {
        auto& second = fixture.add_runner("lane-2", "lanes");
        fixture.until([&] { return fixture.log_has("subject=lane-2"); });
        first.add_fault(Fault::LoseResponse);
        second.add_fault(Fault::LoseResponse);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a4"));
        THEN("it is not sent again, and the response reports that it may have run")
        {
            CHECK(call->status == 502);
            CHECK(first.runs().size() + second.runs().size() == 1);
        }
    }
    WHEN("a repeatable call fails at one runner, after calls that allow a retry")
    {
        constexpr size_t earlier_calls = 5;
        for (size_t i = 0; i < earlier_calls; ++i)
            REQUIRE(fixture.finished_call(HostFixture::request("/tariff/1", "b" + std::to_string(i)))->status == 200);
        auto& second = fixture.add_runner("lane-2", "lanes");
        fixture.until([&] { return fixture.log_has("subject=lane-2"); });
        auto fault = GENERATE(Fault::LoseResponse, Fault::Fail, Fault::Unsigned, Fault::NotRun, Fault::Misdirected);
        first.add_fault(fault);
        auto call = fixture.finished_call(HostFixture::request("/tariff/1", "a5"));
        if (first.received().size() == earlier_calls) // The other runner was chosen first.
            call = fixture.finished_call(HostFixture::request("/tariff/1", "a6"));
        THEN("another runner responds")
        {
            CHECK(call->status == 200);
            CHECK(second.runs().size() >= 1);
        }
    }
    WHEN("a successful response to an at-most-once call has no signature")
    {
        first.add_fault(Fault::Unsigned);
        CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a7"))->status == 502);
    }
    WHEN("a runner terminates")
    {
        first.terminate();
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a8"));
        THEN("a call that reached no runner has not run") { CHECK(call->status == 503); }
    }
    WHEN("the caller disconnects while a runner is working")
    {
        first.add_fault(Fault::Hang);
        auto call = fixture.call(HostFixture::request("/lookup/1", "a9"));
        fixture.until([&] { return first.runs().size() == 1; });
        call->connection->cancel();
        THEN("the connection to the runner is closed, so that it can stop")
        {
            fixture.until([&] { return first.dropped_count() == 1; });
            CHECK(fixture.log_has("event=E2405 caller_left subject=a9"));
        }
    }
    WHEN("the caller's deadline passes before the runner responds")
    {
        first.add_fault(Fault::Hang);
        auto request = HostFixture::request("/lookup/1", "a10");
        request.set("Lilactiller-Deadline-Ms", "60");
        CHECK(fixture.finished_call(std::move(request))->status == 504);
        fixture.until([&] { return first.dropped_count() == 1; });
    }
}

SCENARIO("requests that no configuration allows are refused")
{
    HostFixture fixture;
    auto& runner = fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();
    CHECK(fixture.finished_call(HostFixture::request("/nowhere/1", "b1"))->status == 404);
    CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "b2", "stranger"))->status == 401);
    CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "b3", ""))->status == 401);
    CHECK(runner.received().empty());
}

SCENARIO("a host without a configuration says that it cannot serve yet")
{
    HostFixture fixture;
    fixture.store.set_mode(StandIns::PlatformStore::Mode::Busy);
    fixture.start_host();
    CHECK_FALSE(fixture.is_ready());
    auto call = fixture.finished_call(HostFixture::request("/lookup/1", "c1"));
    CHECK(call->status == 503);
    CHECK(call->headers.contains("Retry-After"));
    THEN("it becomes ready once the platform answers")
    {
        fixture.store.set_mode(StandIns::PlatformStore::Mode::Serving);
        fixture.put_configuration(3);
        fixture.until([&] { return fixture.is_ready(); });
        CHECK(fixture.log_has("event=E1302 platform_available"));
    }
}

SCENARIO("bytes that are no proper request are refused, and the process lives on")
{
    HostFixture fixture;
    auto& runner = fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();
    auto response_to = [&](std::string const& bytes) {
        Http::tcp::socket socket(fixture.loop);
        socket.connect(fixture.callers_endpoint);
        Http::asio::write(socket, Http::asio::buffer(bytes));
        std::string response;
        bool is_over = false;
        std::array<char, 4096> buffer {};
        std::function<void()> read = [&] {
            socket.async_read_some(Http::asio::buffer(buffer), [&](boost::system::error_code error, size_t count) {
                response.append(buffer.data(), count);
                is_over = static_cast<bool>(error) || response.find("\r\n\r\n") != std::string::npos;
                if (!is_over)
                    read();
            });
        };
        read();
        fixture.until([&] { return is_over; });
        return response.substr(0, response.find("\r\n"));
    };
    std::string const head = "POST /lookup/1 HTTP/1.1\r\nHost: tolls.example\r\nApi-Key: plaza-key\r\n"
                             "Lilactiller-Attempt-Id: d1\r\n";
    CHECK(response_to("no request\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(response_to(head + "X: " + std::string(10'000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(response_to(head + "Content-Length: 100000\r\n\r\n").starts_with("HTTP/1.1 413"));
    GIVEN("ambiguous framing")
    {
        CHECK(response_to(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                  .starts_with("HTTP/1.1 400"));
        CHECK(response_to(head + "Transfer-Encoding: xchunked\r\n\r\n").starts_with("HTTP/1.1 400"));
        CHECK(response_to(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n").starts_with("HTTP/1.1 400"));
        CHECK(response_to(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd").starts_with("HTTP/1.1 400"));
    }
    CHECK(runner.received().empty());
    CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "d2"))->status == 200);
}
