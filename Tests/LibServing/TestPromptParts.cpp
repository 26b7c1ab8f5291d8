/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RequestTerminations.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Serving;

namespace {

/// Hosts that exchange what they know of prompt parts, without loss.
class PartHosts {
public:
    explicit PartHosts(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            this->add_host();
    }

    static std::vector<RequestFingerprint> prompt(std::vector<std::string> const& parts)
    {
        return fingerprints_of_parts(parts, OrganisationId("plaza"));
    }

    /// An engine terminates under a request without events at this host.
    void terminate(size_t host, std::vector<std::string> const& parts)
    {
        BackendServer server;
        server.id = EngineId("engine-" + std::to_string(++this->terminations));
        server.start = ServerStart(1);
        Backend backend;
        backend.server = server;
        auto suspects = prompt(parts);
        suspects.push_back({ OrganisationId("plaza"), this->terminations });
        // Each run begins after the terminations before it.
        record_termination_under(*this->hosts[host], suspects, backend, { this->now, this->now });
    }
    /// Engines terminate almost at once, each under a request of its own without events.
    void terminate_together(std::vector<size_t> const& at_hosts, std::vector<std::string> const& parts)
    {
        auto const began = this->now - 300ms;
        for (auto const host : at_hosts) {
            Backend backend;
            backend.server.id = EngineId("engine-" + std::to_string(++this->terminations));
            backend.server.start = ServerStart(1);
            auto suspects = prompt(parts);
            suspects.push_back({ OrganisationId("plaza"), this->terminations });
            this->now += 5ms;
            record_termination_under(*this->hosts[host], suspects, backend, { began, this->now });
        }
    }
    /// Whether a request at this host may be sent to a server.
    [[nodiscard]] bool may_dispatch(size_t host, std::vector<std::string> const& parts) const
    {
        return std::ranges::none_of(prompt(parts),
            [&](auto const& part) { return this->hosts[host]->quarantine.refused_for(part, this->now).has_value(); });
    }
    void begin_trial(size_t host, std::vector<std::string> const& parts)
    {
        CHECK(Serving::begin_trial(*this->hosts[host], prompt(parts)));
    }
    /// A request at this host receives its first event.
    void begin_stream(size_t host, std::vector<std::string> const& parts)
    {
        record_run_survived(*this->hosts[host], prompt(parts));
    }
    [[nodiscard]] bool is_held(size_t host, std::vector<std::string> const& parts) const
    {
        return std::ranges::any_of(prompt(parts),
            [&](auto const& part) { return this->hosts[host]->quarantine.held_for(part, this->now).has_value(); });
    }
    [[nodiscard]] bool is_held_anywhere(std::vector<std::string> const& parts) const
    {
        for (size_t host = 0; host < this->hosts.size(); ++host) {
            if (this->is_held(host, parts))
                return true;
        }
        return false;
    }

    Instant now { 100s };

private:
    void add_host()
    {
        auto& host = this->hosts.emplace_back(std::make_unique<ServingContext>(this->loop, this->settings, this->log));
        host->clock = [this] { return this->now += Test::clock_step; };
        auto& sender = *host;
        host->quarantine_changed = [this, &sender](auto fingerprints) { this->announce(sender, fingerprints); };
    }

    void announce(ServingContext& sender, std::span<RequestFingerprint const> fingerprints)
    {
        wire::HostUse message;
        for (auto const& fingerprint : fingerprints)
            put_request_termination(message, sender, fingerprint);
        wire::HostUse replies;
        for (auto const& host : this->hosts) {
            if (host.get() == &sender)
                continue;
            for (auto const& part : apply_request_terminations(*host, message))
                put_clearance_reply(replies, part);
        }
        apply_request_terminations(sender, replies);
    }

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    std::vector<std::unique_ptr<ServingContext>> hosts;
    u64 terminations { 0 };
};

}

// Guards against an organisation whose requests are all held back because of one part that some of them have.
SCENARIO("a part of prompts ends the engines of several hosts")
{
    PartHosts hosts(3);
    GIVEN("requests that have nothing else in common but the first part")
    {
        for (size_t i = 0; i < 3; ++i)
            hosts.terminate(i, { "common", "fatal", "own-" + std::to_string(i) });
        THEN("the part is held back by all hosts after three terminations, and the first part is not")
        {
            for (size_t host = 0; host < 3; ++host) {
                CHECK(hosts.is_held(host, { "fatal" }));
                CHECK_FALSE(hosts.is_held(host, { "common" }));
                CHECK_FALSE(hosts.is_held(host, { "own-0" }));
            }
        }
        WHEN("requests that were in progress end two more engines")
        {
            hosts.terminate(0, { "common", "fatal", "own-3" });
            hosts.terminate(1, { "common", "fatal", "own-4" });
            THEN("the first part is still served") { CHECK_FALSE(hosts.is_held_anywhere({ "common" })); }
        }
    }
    GIVEN("that part at different positions of the prompts")
    {
        hosts.terminate(0, { "fatal", "a" });
        hosts.terminate(1, { "b", "fatal" });
        hosts.terminate(2, { "c", "d", "fatal" });
        THEN("it is the same part") { CHECK(hosts.is_held(0, { "fatal" })); }
    }
    GIVEN("the first part as the cause, and varying further ones")
    {
        for (size_t i = 0; i < 3; ++i)
            hosts.terminate(i, { "fatal", "other-" + std::to_string(i) });
        THEN("the first part is held back") { CHECK(hosts.is_held_anywhere({ "fatal" })); }
    }
    GIVEN("a cause that always comes with the same further part at first, and then with another one")
    {
        for (size_t i = 0; i < 3; ++i)
            hosts.terminate(i, { "common", "fatal", "companion" });
        CHECK(hosts.is_held(0, { "companion" }));
        hosts.terminate(0, { "common", "fatal", "second-companion" });
        hosts.terminate(1, { "common", "fatal", "third-companion" });
        THEN("the cause is found by the fifth termination, and the first part is still served")
        {
            CHECK(hosts.is_held(2, { "fatal" }));
            CHECK_FALSE(hosts.is_held_anywhere({ "common" }));
        }
    }
    GIVEN("one request that is sent again unchanged")
    {
        RequestFingerprint const request { OrganisationId("plaza"), 77 };
        Quarantine quarantine;
        for (int i = 0; i < 3; ++i) {
            ServerProcess const process { EngineId("e" + std::to_string(i)), ServerStart(1) };
            quarantine.record_termination(request, process, { hosts.now, hosts.now }, hosts.now);
            for (auto const& part : PartHosts::prompt({ "common", "other" }))
                quarantine.record_termination(part, process, { hosts.now, hosts.now }, hosts.now);
        }
        THEN("only the request is held back")
        {
            CHECK(quarantine.held_for(request, hosts.now));
            for (auto const& part : PartHosts::prompt({ "common", "other" }))
                CHECK_FALSE(quarantine.held_for(part, hosts.now));
        }
    }
}

// Guards against an organisation that is refused for an hour after the engines of one domain have crashed together.
SCENARIO("engines crash together under requests that share a part")
{
    PartHosts hosts(3);
    GIVEN("three requests at one host, or at several")
    {
        auto const at_hosts = GENERATE(std::vector<size_t> { 0, 0, 0 }, std::vector<size_t> { 0, 1, 2 },
            std::vector<size_t> { 0, 0, 1, 1, 2, 2, 0 });
        hosts.terminate_together(at_hosts, { "shared" });
        THEN("no host holds the part back") { CHECK_FALSE(hosts.is_held_anywhere({ "shared" })); }
        AND_WHEN("two more engines terminate under later requests with the part")
        {
            hosts.now += 2s;
            hosts.terminate(0, { "shared" });
            hosts.now += 2s;
            hosts.terminate(1, { "shared" });
            THEN("all hosts hold it back") { CHECK(hosts.is_held(2, { "shared" })); }
        }
    }
}

SCENARIO("a part that is held back is tried by one request of all hosts")
{
    PartHosts hosts(3);
    for (size_t i = 0; i < 3; ++i)
        hosts.terminate(i, { "common" });
    for (size_t host = 0; host < 3; ++host)
        CHECK_FALSE(hosts.may_dispatch(host, { "common" }));
    hosts.now += Quarantine::first_trial_pause + 1s;
    CHECK(hosts.may_dispatch(1, { "common" }));
    hosts.begin_trial(1, { "common" });
    THEN("the others do not try it at the same time")
    {
        for (size_t host = 0; host < 3; ++host)
            CHECK_FALSE(hosts.may_dispatch(host, { "common" }));
    }
    WHEN("it receives its first event")
    {
        hosts.begin_stream(1, { "common" });
        THEN("all hosts serve requests with the part")
        {
            for (size_t host = 0; host < 3; ++host)
                CHECK(hosts.may_dispatch(host, { "common" }));
        }
    }
    WHEN("its engine terminates")
    {
        hosts.terminate(1, { "common" });
        hosts.now += Quarantine::first_trial_pause + 1s;
        THEN("no host tries it as soon again")
        {
            for (size_t host = 0; host < 3; ++host)
                CHECK_FALSE(hosts.may_dispatch(host, { "common" }));
        }
    }
}

// Guards against parts of sound requests that are suspected because they ran where engines ended.
SCENARIO("a request with a part receives its first event")
{
    PartHosts hosts(3);
    WHEN("another host has seen it shortly before the terminations")
    {
        hosts.begin_stream(0, { "common" });
        hosts.now += 5s;
        for (int i = 0; i < 4; ++i)
            hosts.terminate(1, { "common" });
        THEN("the part is cleared") { CHECK_FALSE(hosts.is_held_anywhere({ "common" })); }
    }
    WHEN("that was long ago")
    {
        hosts.begin_stream(0, { "common" });
        hosts.now += 20s;
        for (int i = 0; i < 3; ++i)
            hosts.terminate(1, { "common" });
        THEN("the part is held back") { CHECK(hosts.is_held_anywhere({ "common" })); }
    }
    WHEN("it was in progress when the part was quarantined")
    {
        for (int i = 0; i < 3; ++i)
            hosts.terminate(1, { "common" });
        CHECK(hosts.is_held(2, { "common" }));
        hosts.begin_stream(0, { "common" });
        THEN("all hosts release the part") { CHECK_FALSE(hosts.is_held_anywhere({ "common" })); }
    }
}

// The load: eight hosts, 20 generations a second with 40 different first parts, and every second a crash that hits one
// of them before its first event, so that one run in twenty is interrupted.
SCENARIO("crashes that no request has caused hold back no part")
{
    constexpr int parts = 40;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        std::uniform_int_distribution<size_t> any_host(0, 7);
        std::uniform_int_distribution<int> any_part(0, parts - 1);
        auto const draw = [&] { return std::vector { "part-" + std::to_string(any_part(random)) }; };
        PartHosts hosts(8);
        for (int step = 0; step < 1200; ++step) {
            hosts.now += 50ms;
            auto const read = draw();
            hosts.begin_stream(any_host(random), read);
            if (step % 20 > 0)
                continue;
            auto const terminated_on = draw();
            hosts.terminate(any_host(random), terminated_on);
            for (int part = 0; part < parts; ++part)
                REQUIRE_FALSE(hosts.is_held_anywhere({ "part-" + std::to_string(part) }));
        }
    }
}
