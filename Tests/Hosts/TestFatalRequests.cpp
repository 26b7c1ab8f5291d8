/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>

using namespace Test;

namespace {

/// Within this time, every reachable host has to know the events of the other hosts.
constexpr Duration contact_time = 3s;
/// A request that has terminated this many servers may reach only few more.
constexpr u32 enough_terminated = 3;
/// Servers that it may then reach from all hosts together, more than `contact_time` later.
constexpr u32 max_late_arrivals = 3;

constexpr auto fatal_body = "a question that no server survives";

/// Backend servers that one request terminates, and several hosts to which the caller sends it in turn.
class FatalRequestServers {
public:
    FatalRequestServers(std::string service, Http::Request request)
        : service(std::move(service))
        , request(std::move(request))
    {
        this->request.body() = fatal_body;
        for (int i = 0; i < 24; ++i) {
            auto const domain = "hall-" + std::string(1, static_cast<char>('a' + i % 2));
            auto& runner = this->hosts.platform.add_runner("r" + std::to_string(i), this->service, domain);
            runner.set_fatal_body(fatal_body);
            runner.planned_events = [](std::string const&) { return u64(1); };
        }
        this->hosts.start();
    }

    /// Sends the request again, to the next host. Returns the status, 0 if the response was interrupted before its
    /// head.
    unsigned send_again()
    {
        auto next = this->request;
        next.set("Lilactiller-Attempt-Id", "try-" + std::to_string(++this->attempts));
        return this->hosts.finished_call(this->attempts % this->hosts.size(), std::move(next))->status;
    }

    void send_until_enough_terminated()
    {
        while (this->terminated() < enough_terminated)
            this->send_again();
        this->hosts.run_for(contact_time);
    }

    [[nodiscard]] u32 terminated() const
    {
        return static_cast<u32>(std::ranges::count_if(
            this->hosts.platform.runners, [](auto const& runner) { return runner.is_terminated(); }));
    }

    HostGroup hosts { { "hall-a", "hall-a", "hall-b" } };

private:
    std::string service;
    Http::Request request;
    u32 attempts { 0 };
};

void check_few_more_terminate(FatalRequestServers& servers)
{
    servers.send_until_enough_terminated();
    auto const before = servers.terminated();
    WHEN("it is sent repeatedly, to all hosts in turn")
    {
        for (int i = 0; i < 9; ++i)
            servers.send_again();
        THEN("it reaches few servers more") { CHECK(servers.terminated() - before <= max_late_arrivals); }
    }
    WHEN("hosts are replaced one after another between its attempts")
    {
        for (size_t number = 0; number < servers.hosts.size(); ++number) {
            servers.hosts.replace(number);
            for (int i = 0; i < 3; ++i)
                servers.send_again();
        }
        THEN("it reaches few servers more") { CHECK(servers.terminated() - before <= max_late_arrivals); }
    }
    WHEN("all hosts are replaced at once, twice")
    {
        for (int i = 0; i < 2; ++i) {
            servers.hosts.replace_all();
            for (int j = 0; j < 6; ++j)
                servers.send_again();
        }
        THEN("it reaches few servers more") { CHECK(servers.terminated() - before <= max_late_arrivals); }
    }
}

}

// Guards against one request that terminates engines one after another as callers repeat it at different hosts, none of
// which knows about the terminations that the others have seen.
SCENARIO("a generation that ends every engine that runs it reaches few more once it has ended three")
{
    FatalRequestServers servers("models", HostFixture::generation("first"));
    check_few_more_terminate(servers);
}

// The same for plain services, where a host itself dispatches a repeatable call to a further server.
SCENARIO("a call that ends every server that runs it reaches few more once it has ended three")
{
    FatalRequestServers servers("lanes", HostFixture::request("/tariff/9", "first"));
    check_few_more_terminate(servers);
}
