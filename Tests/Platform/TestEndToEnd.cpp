/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>
#include <boost/asio/write.hpp>

using Test::HostFixture;
using Fault = StandIn::PlatformRunner::Fault;

SCENARIO("a call to a plain service goes through a host on the users' platform")
{
    HostFixture fixture;
    auto& first = fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();

    WHEN("its runner answers")
    {
        auto call = fixture.finished_call(HostFixture::request("/lookup/77?lane=4", "a1"));
        THEN("the answer is the runner's, unchanged")
        {
            CHECK(call->status == 200);
            CHECK(call->body == "answer to /lookup/77?lane=4");
            CHECK(call->headers["Lilactiller-Response-Stamp"] == "stamp-of-lane-1");
            CHECK(call->headers["Lilactiller-Attempt-Id"] == "a1");
        }
        THEN("the runner saw the caller's request, the organisation in place of the key, and the time that is left")
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
        THEN("the log tells the way of the request, and the metrics count it")
        {
            CHECK(fixture.log_has("event=E2001 request_received subject=a1"));
            CHECK(fixture.log_has("event=E2401 service_call_dispatched subject=a1 backend=lane-1"));
            CHECK(fixture.log_has("event=E2402 service_call_ended subject=a1 backend=lane-1 status=200"));
            CHECK(fixture.metrics_text().find("requests_total 1") != std::string::npos);
        }
    }
    WHEN("a connection that was made for the call ends without an answer")
    {
        first.add_fault(Fault::LoseAnswer);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        THEN("the call may have run, and the runner is avoided at once")
        {
            CHECK(call->status == 502);
            CHECK(fixture.log_has("E2308 backend_server_suspected subject=lane-1 request=a1"));
        }
    }
    WHEN("a kept connection ends without an answer")
    {
        fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        first.add_fault(Fault::LoseAnswer);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a2"));
        THEN("the runner may just have forgotten it, and is not avoided")
        {
            CHECK(call->status == 502);
            CHECK_FALSE(fixture.log_has("E2308"));
        }
    }
    WHEN("its answer and its deadline come while the host gets no processor")
    {
        // Without a body, so that the answer is whole in the turn in which its head is read.
        first.add_fault(Fault::Fail);
        auto request = HostFixture::request("/lookup/1", "a1");
        request.set("Lilactiller-Deadline-Ms", "30");
        auto call = fixture.call(std::move(request));
        fixture.until([&] { return first.runs().contains("a1"); });
        Test::stall_for(60ms);
        fixture.until([&] { return call->is_over(); });
        THEN("the request has one end")
        {
            bool const is_answered = call->status == 500;
            CHECK(fixture.log_has("E2402 service_call_ended subject=a1") == is_answered);
            CHECK(fixture.log_has("E2002 request_refused subject=a1") != is_answered);
        }
    }
    WHEN("the caller sends what only the system may set")
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
        THEN("the caller is told that it has not run, and when to come back")
        {
            CHECK(call->status == 503);
            CHECK(call->headers.contains("Retry-After"));
            CHECK(call->body.find("\"may_have_run\":false") != std::string::npos);
            CHECK(first.runs().empty());
        }
    }
    WHEN("another process answers at the runner's address")
    {
        first.add_fault(Fault::Misdirected);
        auto refused = fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        CHECK(refused->status == 503);
        THEN("no caller's request is sent there again")
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
    WHEN("another writer spoils the runner's entry")
    {
        fixture.store.put("servers", "lane-1", R"({"service":"lanes","addr":17})");
        fixture.until([&] { return fixture.log_has("E1304 platform_content_rejected subject=lane-1"); });
        CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a1"))->status == 503);
        AND_WHEN("it is as it was again")
        {
            fixture.store.put("servers", "lane-1", first.row("lanes", "hall-a"));
            fixture.until(
                [&] { return fixture.finished_call(HostFixture::request("/lookup/1", "a2"))->status == 200; });
        }
    }
    WHEN("the answer to a call that may run once only is lost")
    {
        auto& second = fixture.add_runner("lane-2", "lanes");
        fixture.until([&] { return fixture.log_has("subject=lane-2"); });
        first.add_fault(Fault::LoseAnswer);
        second.add_fault(Fault::LoseAnswer);
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a4"));
        THEN("it is not sent again, and the caller is told that it may have run")
        {
            CHECK(call->status == 502);
            CHECK(first.runs().size() + second.runs().size() == 1);
        }
    }
    WHEN("a repeatable call fails at one runner, after calls that have earned a repeat")
    {
        constexpr size_t earlier_calls = 5;
        for (size_t i = 0; i < earlier_calls; ++i)
            REQUIRE(fixture.finished_call(HostFixture::request("/tariff/1", "b" + std::to_string(i)))->status == 200);
        auto& second = fixture.add_runner("lane-2", "lanes");
        fixture.until([&] { return fixture.log_has("subject=lane-2"); });
        auto fault = GENERATE(Fault::LoseAnswer, Fault::Fail, Fault::Unsigned, Fault::NotRun, Fault::Misdirected);
        first.add_fault(fault);
        auto call = fixture.finished_call(HostFixture::request("/tariff/1", "a5"));
        if (first.received().size() == earlier_calls) // The other one was chosen first.
            call = fixture.finished_call(HostFixture::request("/tariff/1", "a6"));
        THEN("another one answers")
        {
            CHECK(call->status == 200);
            CHECK(second.runs().size() >= 1);
        }
    }
    WHEN("a success comes without a signature, for a call that may run once only")
    {
        first.add_fault(Fault::Unsigned);
        CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a7"))->status == 502);
    }
    WHEN("a runner ends")
    {
        first.end();
        auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a8"));
        THEN("a call that reached nobody has not run") { CHECK(call->status == 503); }
    }
    WHEN("the caller leaves while a runner is at work")
    {
        first.add_fault(Fault::Hang);
        auto call = fixture.call(HostFixture::request("/lookup/1", "a9"));
        fixture.until([&] { return first.runs().size() == 1; });
        call->connection->cancel();
        THEN("the runner's connection is closed, so that it can stop")
        {
            fixture.until([&] { return first.dropped_count() == 1; });
            CHECK(fixture.log_has("event=E2405 caller_left subject=a9"));
        }
    }
    WHEN("the caller's time is over before the runner answers")
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
    fixture.store.set_mode(StandIn::PlatformStore::Mode::Busy);
    fixture.start_host();
    CHECK_FALSE(fixture.is_ready());
    auto call = fixture.finished_call(HostFixture::request("/lookup/1", "c1"));
    CHECK(call->status == 503);
    CHECK(call->headers.contains("Retry-After"));
    THEN("it becomes ready once the platform answers")
    {
        fixture.store.set_mode(StandIn::PlatformStore::Mode::Serving);
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
    auto answer_to = [&](std::string const& bytes) {
        Http::tcp::socket socket(fixture.loop);
        socket.connect(fixture.callers_endpoint);
        Http::asio::write(socket, Http::asio::buffer(bytes));
        std::string answer;
        bool over = false;
        std::array<char, 4096> buffer {};
        std::function<void()> read = [&] {
            socket.async_read_some(Http::asio::buffer(buffer), [&](boost::system::error_code error, size_t count) {
                answer.append(buffer.data(), count);
                over = static_cast<bool>(error) || answer.find("\r\n\r\n") != std::string::npos;
                if (!over)
                    read();
            });
        };
        read();
        fixture.until([&] { return over; });
        return answer.substr(0, answer.find("\r\n"));
    };
    std::string const head = "POST /lookup/1 HTTP/1.1\r\nHost: tolls.example\r\nApi-Key: plaza-key\r\n"
                             "Lilactiller-Attempt-Id: d1\r\n";
    CHECK(answer_to("no request\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(answer_to(head + "X: " + std::string(10'000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(answer_to(head + "Content-Length: 100000\r\n\r\n").starts_with("HTTP/1.1 413"));
    GIVEN("framing that two parsers could read in two ways")
    {
        CHECK(answer_to(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                  .starts_with("HTTP/1.1 400"));
        CHECK(answer_to(head + "Transfer-Encoding: xchunked\r\n\r\n").starts_with("HTTP/1.1 400"));
        CHECK(answer_to(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n").starts_with("HTTP/1.1 400"));
        CHECK(answer_to(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd").starts_with("HTTP/1.1 400"));
    }
    CHECK(runner.received().empty());
    CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "d2"))->status == 200);
}
