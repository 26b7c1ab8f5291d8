/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>

using namespace Test;

namespace {

/// After so long every host that is in touch has to know what happened elsewhere.
constexpr Duration contact_time = 3s;
/// A request that has ended so many servers may reach but few more.
constexpr u32 enough_ended = 3;
/// So many, in all hosts together, later than the time of contact after that.
constexpr u32 most_reached_later = 3;

constexpr auto ending_body = "a question that no server survives";

/// Backend servers that one request ends, before several hosts that callers come to in turn.
class EndingServers {
public:
    EndingServers(std::string service, Http::Request request)
        : service(std::move(service))
        , request(std::move(request))
    {
        this->request.body() = ending_body;
        for (int i = 0; i < 24; ++i) {
            auto const domain = "hall-" + std::string(1, static_cast<char>('a' + i % 2));
            auto& runner = this->hosts.platform.add_runner("r" + std::to_string(i), this->service, domain);
            runner.set_ended_by(ending_body);
            runner.planned_events = [](std::string const&) { return u64(1); };
        }
        this->hosts.start();
    }

    /// The caller comes once more, at the next host. Answers its status, 0 where the answer broke off before its head.
    unsigned come_again()
    {
        auto again = this->request;
        again.set("Lilactiller-Attempt-Id", "try-" + std::to_string(++this->tries));
        return this->hosts.finished_call(this->tries % this->hosts.size(), std::move(again))->status;
    }

    void come_again_until_enough_ended()
    {
        while (this->ended() < enough_ended)
            this->come_again();
        this->hosts.run_for(contact_time);
    }

    [[nodiscard]] u32 ended() const
    {
        return static_cast<u32>(
            std::ranges::count_if(this->hosts.platform.runners, [](auto const& runner) { return runner.is_over(); }));
    }

    HostGroup hosts { { "hall-a", "hall-a", "hall-b" } };

private:
    std::string service;
    Http::Request request;
    u32 tries { 0 };
};

void check_few_more_end(EndingServers& servers)
{
    servers.come_again_until_enough_ended();
    auto const before = servers.ended();
    WHEN("it comes again and again, at all hosts in turn")
    {
        for (int i = 0; i < 9; ++i)
            servers.come_again();
        THEN("it reaches few servers more") { CHECK(servers.ended() - before <= most_reached_later); }
    }
    WHEN("hosts are replaced one after another between its tries")
    {
        for (size_t number = 0; number < servers.hosts.size(); ++number) {
            servers.hosts.replace(number);
            for (int i = 0; i < 3; ++i)
                servers.come_again();
        }
        THEN("it reaches few servers more") { CHECK(servers.ended() - before <= most_reached_later); }
    }
    WHEN("all hosts are replaced at once, twice")
    {
        for (int i = 0; i < 2; ++i) {
            servers.hosts.replace_all();
            for (int j = 0; j < 6; ++j)
                servers.come_again();
        }
        THEN("it reaches few servers more") { CHECK(servers.ended() - before <= most_reached_later); }
    }
}

}

// Engines of the users ended one after another under one request that its callers sent again at any host: no host knew
// what it had done to the others' engines.
SCENARIO("a generation that ends every engine that runs it reaches few more once it has ended three")
{
    EndingServers servers("models", HostFixture::generation("first"));
    check_few_more_end(servers);
}

// The same for plain services, where a host itself sends a call that may be repeated to a further server.
SCENARIO("a call that ends every server that runs it reaches few more once it has ended three")
{
    EndingServers servers("lanes", HostFixture::request("/tariff/9", "first"));
    check_few_more_end(servers);
}
