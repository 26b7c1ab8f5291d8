/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/RateLimit.h>
#include <Tests/Fleet/LossyNetwork.h>
#include <algorithm>
#include <list>
#include <random>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

/// Every host in touch knows by then what a server has named.
constexpr Duration contact_time = 3s;
constexpr Duration window = 4s;
/// What a host sends counts from then on after it has passed on an answer that names the limit.
constexpr Duration time_to_heed = 500ms;

/// Hosts in virtual time that take calls and send each to one of a few servers, which name limits. What hosts tell each
/// other comes late, and some of it never.
class LimitedFleet {
public:
    struct Shape {
        u32 hosts { 8 };
        u32 domains { 3 };
        u32 servers { 3 };
        /// Of all callers together.
        double calls_per_second { 36 };
        double lost_share { 0.05 };
        u32 seed { 1 };
    };

    explicit LimitedFleet(Shape shape)
        : shape(shape)
        , network(shape.lost_share, shape.seed)
        , random(shape.seed)
    {
        for (u32 i = 0; i < shape.servers; ++i)
            this->servers.push_back({ EngineId("lane-" + std::to_string(i)), {}, {}, {}, {} });
        for (u32 i = 0; i < shape.hosts; ++i)
            this->add_host();
        for (auto& host : this->hosts)
            this->read_table(host);
        this->run(6s);
    }

    /// A server names a limit from now on, or none any more.
    void set_limit(u32 server, std::optional<double> per_second)
    {
        auto& named = this->servers.at(server);
        named.limit.reset();
        if (per_second)
            named.limit = RequestRate(*per_second);
        named.limit_since = this->now;
        // What was sent before was within what the server named then.
        named.counted.clear();
        for (auto& host : this->hosts)
            host.passed_on_at.erase(named.id);
    }

    /// A share of the hosts ends and starts again; they remember nothing.
    void restart(double share)
    {
        for (auto& host : this->hosts) {
            if (!this->chance(share))
                continue;
            this->begin(host);
            this->read_table(host);
        }
    }
    void set_cut(bool now_cut) { this->is_cut = now_cut; }
    void set_load(double calls_per_second) { this->shape.calls_per_second = calls_per_second; }

    void run(Duration span)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += step) {
            this->deliver();
            this->broadcast_full_state();
            this->take_answers();
            auto const expected = this->shape.calls_per_second * AK::to_seconds(step);
            for (auto i = std::poisson_distribution<u32>(expected)(this->random); i > 0; --i)
                this->take_call(this->any_host());
        }
    }

    /// Of all servers that have named the limit that they name for the time of contact: by how many requests some
    /// window that ended since then exceeds what it allows.
    [[nodiscard]] double worst_excess() const { return this->excess; }
    [[nodiscard]] u32 refused() const { return this->refused_calls; }
    [[nodiscard]] size_t arrivals_within(u32 server, Duration span) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            this->servers.at(server).arrivals, [&](Instant moment) { return moment >= this->now - span; }));
    }

private:
    static constexpr Duration step = 20ms;
    static constexpr Duration talk_period = 500ms;
    static constexpr Duration work_time = 60ms;

    struct Server {
        EngineId id;
        std::optional<RequestRate> limit;
        Instant limit_since;
        std::vector<Instant> arrivals;
        /// Of those, what hosts sent that knew the limit from an answer that they had passed on.
        std::vector<Instant> counted;
    };
    struct Machine {
        Address address;
        FailureDomainId domain;
        HostSettings settings;
        std::unique_ptr<ServingContext> context;
        Test::LossyNetwork::Inbox inbox;
        /// When it first passed on an answer that names what the server names now.
        std::map<EngineId, Instant> passed_on_at;
        Instant started_at {};
        Instant next_talk {};
    };
    struct Answer {
        Instant comes_at;
        Machine* host;
        Instant host_started_at;
        EngineId server;
        std::optional<RequestRate> limit;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(this->random); }
    Machine& any_host()
    {
        std::uniform_int_distribution<size_t> number(0, this->hosts.size() - 1);
        return *std::next(this->hosts.begin(), static_cast<std::ptrdiff_t>(number(this->random)));
    }

    void add_host()
    {
        auto const number = this->hosts.size();
        auto& host = this->hosts.emplace_back();
        host.domain = FailureDomainId("hall-" + std::to_string(number % this->shape.domains));
        host.address = Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1");
        host.settings.failure_domain = host.domain;
        host.settings.peer_address = host.address;
        this->begin(host);
    }

    void begin(Machine& host)
    {
        host.inbox.clear();
        host.passed_on_at.clear();
        host.started_at = this->now;
        host.context = std::make_unique<ServingContext>(this->loop, host.settings, this->log);
        host.context->clock = [this] { return this->now; };
        host.context->limit_changed = [this, &host](Backend const& backend) {
            wire::HostUse message;
            put_rate_limit(message, *host.context, backend);
            this->tell(host, message);
        };
        for (auto const& server : this->servers) {
            BackendServer listed;
            listed.id = server.id;
            listed.service = ServiceName("lanes");
            listed.address = Address("127.0.0.1:1000");
            listed.failure_domain = FailureDomainId("hall-0");
            listed.slots = 6;
            host.context->backends.update(listed, this->now);
        }
    }

    void read_table(Machine& host)
    {
        std::vector<KnownHost> known;
        for (auto const& other : this->hosts) {
            if (other.address != host.address)
                known.push_back({ other.address, other.domain });
        }
        host.context->reach.update_known_hosts(known, this->now);
    }

    void tell(Machine const& from, wire::HostUse const& message)
    {
        if (!this->is_cut)
            this->network.broadcast(this->hosts, from, message, this->now);
    }

    void deliver()
    {
        for (auto& host : this->hosts)
            host.inbox.deliver(
                this->now, [&](wire::HostUse const& message) { apply_rate_limits(*host.context, message); });
    }

    void broadcast_full_state()
    {
        for (auto& host : this->hosts) {
            if (this->now < host.next_talk)
                continue;
            host.next_talk = this->now + talk_period;
            wire::HostUse message;
            put_recent_rate_limits(message, *host.context, LimitScope::Own);
            if (message.limits_size() > 0)
                this->tell(host, message);
        }
    }

    void take_call(Machine& host)
    {
        auto& context = *host.context;
        auto const& candidates = context.backends.of_service(ServiceName("lanes"));
        auto chosen = choose_for_call(candidates, {}, context.choice_inputs(0), context.random);
        if (!chosen) {
            ++this->refused_calls;
            return;
        }
        context.server_limits.record_sent(*chosen, this->now);
        auto& server = *std::ranges::find(this->servers, chosen->server.id, &Server::id);
        server.arrivals.push_back(this->now);
        auto const passed_on = host.passed_on_at.find(server.id);
        if (passed_on != host.passed_on_at.end() && this->now - passed_on->second >= time_to_heed)
            server.counted.push_back(this->now);
        this->check(server);
        ++chosen->in_flight;
        this->answers.push_back({ this->now + work_time, &host, host.started_at, server.id, server.limit });
    }

    void check(Server const& server)
    {
        if (!server.limit || this->now - server.limit_since < contact_time)
            return;
        auto const first
            = std::ranges::find_if(server.counted, [&](Instant moment) { return moment > this->now - window; });
        auto const count = static_cast<double>(server.counted.end() - first);
        auto const allowed = 1.5 * server.limit->value() * AK::to_seconds(window) + 5;
        this->excess = std::max(this->excess, count - allowed);
    }

    void take_answers()
    {
        for (auto const& answer : this->answers) {
            if (answer.comes_at > this->now || answer.host->started_at != answer.host_started_at)
                continue;
            auto backend = answer.host->context->backends.find(answer.server);
            --backend->in_flight;
            record_rate_limit(*answer.host->context, *backend, answer.limit);
            auto const& server = *std::ranges::find(this->servers, answer.server, &Server::id);
            if (answer.limit && answer.limit == server.limit)
                answer.host->passed_on_at.try_emplace(answer.server, this->now);
        }
        std::erase_if(this->answers, [&](Answer const& answer) { return answer.comes_at <= this->now; });
    }

    Shape shape;
    Http::asio::io_context loop;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Test::LossyNetwork network;
    std::mt19937 random;
    std::vector<Server> servers;
    std::list<Machine> hosts;
    std::vector<Answer> answers;
    Instant now { 100s };
    bool is_cut { false };
    u32 refused_calls { 0 };
    double excess { 0 };
};

}

// Each host that kept such a limit for itself would send as much as all may: 8, 66 or 300 times the limit.
SCENARIO("hosts of any number send a server no more than the limit that it names")
{
    auto const hosts = GENERATE(8u, 66u, 300u);
    auto const limit = GENERATE(2.0, 5.5, 50.0);
    CAPTURE(hosts, limit);
    LimitedFleet fleet({ hosts, 3, 3, 36, 0.05, 7 });
    GIVEN("two servers of three that name a limit")
    {
        fleet.set_limit(0, limit);
        fleet.set_limit(1, limit);
        fleet.run(10s);
        CHECK(fleet.worst_excess() <= 0);
        THEN("the third one takes the rest") { CHECK(fleet.refused() == 0); }
        WHEN("they name none any more")
        {
            fleet.set_limit(0, {});
            fleet.set_limit(1, {});
            fleet.run(35s);
            THEN("they get work as before")
            {
                CHECK(fleet.arrivals_within(0, 4s) > 20);
                CHECK(fleet.arrivals_within(1, 4s) > 20);
            }
        }
    }
    GIVEN("servers that all name one, and three times as many calls")
    {
        for (u32 i = 0; i < 3; ++i)
            fleet.set_limit(i, limit);
        fleet.run(3s);
        fleet.set_load(100);
        fleet.run(12s);
        CHECK(fleet.worst_excess() <= 0);
        THEN("each gets a good part of what it takes")
        {
            for (u32 i = 0; i < 3; ++i)
                CHECK(static_cast<double>(fleet.arrivals_within(i, 8s)) >= std::min(8 * limit / 3, 30.0));
        }
        WHEN("hosts end and start again")
        {
            fleet.restart(0.5);
            fleet.run(6s);
            CHECK(fleet.worst_excess() <= 0);
        }
    }
}

SCENARIO("any series of limits, restarts, cuts and loads keeps the limits that servers name")
{
    rc::prop("of fleets of any size", [] {
        LimitedFleet::Shape shape;
        shape.hosts = *rc::gen::element<u32>(1, 3, 8, 43, 90);
        shape.domains = *rc::gen::inRange<u32>(1, 5);
        shape.servers = *rc::gen::inRange<u32>(1, 6);
        shape.calls_per_second = 12.0 * shape.servers;
        shape.lost_share = *rc::gen::element(0.0, 0.05, 0.3);
        shape.seed = *rc::gen::inRange<u32>(1, 100'000);
        LimitedFleet fleet(shape);
        for (auto what : *rc::gen::container<std::vector<u8>>(8, rc::gen::inRange<u8>(0, 10))) {
            if (what < 4)
                fleet.set_limit(what % shape.servers, 2 + 3.5 * what);
            else if (what == 4)
                fleet.set_limit(shape.seed % shape.servers, {});
            else if (what == 5)
                fleet.restart(0.4);
            else if (what < 8)
                fleet.set_load((what == 6 ? 40.0 : 4.0) * shape.servers);
            else
                fleet.set_cut(what == 8);
            fleet.run(2500ms);
        }
        RC_ASSERT(fleet.worst_excess() <= 0);
    });
}
