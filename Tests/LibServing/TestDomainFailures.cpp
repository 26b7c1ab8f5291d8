/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/Overload/DomainFailures.h>
#include <LibServing/Suspicion.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>

using namespace Serving;

namespace {

/// A host of hall-a that knows four engines there and two in hall-b.
class DomainFailureFixture {
public:
    DomainFailureFixture()
        : context(this->loop, this->settings, this->log)
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
        this->context.doubt_changed = [this] { ++this->announcements; };
        for (int i = 0; i < 4; ++i)
            this->add("a" + std::to_string(i), "hall-a", 1);
        for (int i = 0; i < 2; ++i)
            this->add("b" + std::to_string(i), "hall-b", 1);
    }

    BackendPointer add(std::string const& id, std::string const& domain, i64 start)
    {
        BackendServer server;
        server.id = EngineId(id);
        server.start = ServerStart(start);
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = FailureDomainId(domain);
        return this->context.backends.update(server, this->now);
    }

    [[nodiscard]] BackendPointer find(std::string const& id) const { return this->context.backends.find(EngineId(id)); }
    void refuse_connection(std::string const& id)
    {
        suspect(this->context, *this->find(id), { true, "request", "connection refused" });
    }

    /// The chosen server, without those in `tried`.
    [[nodiscard]] std::string choose(std::vector<EngineId> const& tried = {})
    {
        auto inputs = this->context.choice_inputs(0.3);
        inputs.server_limits = nullptr;
        inputs.doubtful_domains = this->context.domain_doubt.doubtful_domains(ServiceName("models"), this->now);
        auto const& candidates = this->context.backends.of_service(ServiceName("models"));
        auto const chosen = choose_for_call(candidates, tried, inputs, this->context.random);
        return chosen ? chosen->server.id.value() : "none";
    }

    [[nodiscard]] bool is_doubtful() const
    {
        return this->context.domain_doubt.is_doubtful({ FailureDomainId("hall-a"), ServiceName("models") }, this->now);
    }
    void receive(std::string const& reporter, Overload::DoubtReporter kind, wire::HostUse const& message)
    {
        apply_doubts(this->context, MemberId(reporter), kind, message);
    }
    static wire::HostUse report(std::string const& domain, std::string const& service, u32 age_milliseconds = 0)
    {
        wire::HostUse message;
        auto& entry = *message.add_doubtful_domains();
        entry.set_failure_domain(domain);
        entry.set_service(service);
        entry.set_age_milliseconds(age_milliseconds);
        return message;
    }

    Instant now { 100s };
    Http::asio::io_context loop;
    HostSettings settings { .failure_domain = FailureDomainId("hall-a") };
    std::string log_text;
    Core::StructuredLog log { [this](std::string_view text) {
        this->log_text += text;
        return text.size();
    } };
    ServingContext context;
    int announcements { 0 };
};

}

SCENARIO("the engines of a domain have crashed together, and a request has run into two of them")
{
    DomainFailureFixture host;
    CHECK(host.choose().starts_with('a'));
    host.refuse_connection("a0");
    CHECK(host.choose().starts_with('a'));
    host.refuse_connection("a1");
    REQUIRE(host.is_doubtful());
    CHECK(host.announcements == 1);

    THEN("requests go to another domain without trying the rest")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(host.choose().starts_with('b'));
    }
    THEN("the rest is tried when nothing else is left, and before the servers that have failed")
    {
        auto const chosen = host.choose({ EngineId("b0"), EngineId("b1") });
        CHECK((chosen == "a2" || chosen == "a3"));
    }
    THEN("a process that has started later is no part of the doubt")
    {
        host.now += 100ms;
        host.add("a0", "hall-a", 2);
        CHECK(host.choose() == "a0");
    }
    THEN("a response of any server ends the doubt, and it is announced once")
    {
        record_responding_server(host.context, *host.find("a2"));
        record_responding_server(host.context, *host.find("a2"));
        CHECK_FALSE(host.is_doubtful());
        CHECK(host.announcements == 2);
        auto const chosen = host.choose();
        CHECK((chosen == "a2" || chosen == "a3"));
    }
    THEN("a response of another domain's server does not")
    {
        record_responding_server(host.context, *host.find("b0"));
        CHECK(host.is_doubtful());
    }
    THEN("begin and end are logged with the evidence")
    {
        log_doubt_changes(host.context);
        host.now += 3s;
        log_doubt_changes(host.context);
        host.log.flush();
        CHECK(host.log_text.find(
                  "E1107 failure_domain_doubtful subject=hall-a service=models failed_servers=2 of=4 reporters=0")
            != std::string::npos);
        CHECK(host.log_text.find(
                  "E1108 failure_domain_doubt_ended subject=hall-a service=models reason=lapsed lasted_ms=3000")
            != std::string::npos);
    }
}

SCENARIO("failed connections to servers that have been replaced are no evidence")
{
    DomainFailureFixture host;
    auto const first = host.find("a0");
    auto const second = host.find("a1");
    host.now += 100ms;
    host.add("a0", "hall-a", 2);
    host.add("a1", "hall-a", 2);
    suspect(host.context, *first, { true, "request", "connection refused" });
    suspect(host.context, *second, { true, "request", "connection refused" });
    CHECK_FALSE(host.is_doubtful());
}

SCENARIO("reports of doubtful domains are late, repeated or forged")
{
    using Overload::DoubtReporter;
    DomainFailureFixture host;
    auto const report = DomainFailureFixture::report("hall-a", "models");

    SECTION("a repeated report of one host changes nothing")
    {
        for (int i = 0; i < 10; ++i)
            host.receive("host-2", DoubtReporter::LocalHost, report);
        CHECK_FALSE(host.is_doubtful());
    }
    SECTION("two hosts that agree are sufficient")
    {
        host.receive("host-2", DoubtReporter::LocalHost, report);
        host.receive("host-3", DoubtReporter::LocalHost, report);
        CHECK(host.is_doubtful());
    }
    SECTION("reports older than a doubt lasts have no effect")
    {
        auto const old = DomainFailureFixture::report("hall-a", "models", 2000);
        host.receive("host-2", DoubtReporter::LocalHost, old);
        host.receive("host-3", DoubtReporter::LocalHost, old);
        CHECK_FALSE(host.is_doubtful());
    }
    SECTION("domains and services without a known server take no memory")
    {
        host.receive("host-2", DoubtReporter::LocalHost, DomainFailureFixture::report("hall-z", "models"));
        host.receive("host-2", DoubtReporter::LocalHost, DomainFailureFixture::report("hall-a", "unknown"));
        CHECK(host.context.domain_doubt.is_empty());
    }
    SECTION("what is sent is understood as it was meant")
    {
        wire::HostUse message;
        put_doubts(message, { { { FailureDomainId("hall-a"), ServiceName("models") }, 120ms, true } });
        REQUIRE(message.doubtful_domains_size() == 1);
        CHECK(message.doubtful_domains(0).age_milliseconds() == 120);
        CHECK(message.doubtful_domains(0).is_cleared());
    }
}
