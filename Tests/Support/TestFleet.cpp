/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "TestFleet.h"
#include <LibDelivery/ResumeToken.h>
#include <LibPlatform/PlatformJson.h>
#include <catch2/catch.hpp>
#include <unistd.h>

static constexpr auto failure_domain = "hall-a";
static constexpr int first_router_port = 7300;
static constexpr int first_gateway_port = 7100;
static constexpr int operator_port = 7500;
static constexpr int remote_port = 7600;

/// A loopback address that only this process uses, so that its fixed ports never conflict with another process's.
static std::string own_host()
{
    auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 62500 % 250) + '.' + std::to_string(1 + pid / 250 % 250) + '.'
        + std::to_string(1 + pid % 250);
}

static Address own_address(int port) { return Address(own_host() + ':' + std::to_string(port)); }

ChangeSignal& ChangeSignal::instance()
{
    static ChangeSignal signal;
    return signal;
}

void ChangeSignal::notify()
{
    {
        std::lock_guard lock(this->mutex);
        ++this->changes;
    }
    this->changed.notify_all();
}

u64 ChangeSignal::count()
{
    std::lock_guard lock(this->mutex);
    return this->changes;
}

bool ChangeSignal::wait_for_change(u64 seen, Instant deadline)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_until(lock, deadline, [&] { return this->changes != seen; });
}

void wait_until(std::string const& what, std::function<bool()> const& condition)
{
    auto& signal = ChangeSignal::instance();
    auto deadline = AK::BootClock::now() + 60s;
    while (true) {
        // Read before checking, so that a change in between is not missed.
        auto seen = signal.count();
        if (condition())
            return;
        INFO("waiting for " << what);
        REQUIRE(signal.wait_for_change(seen, deadline));
    }
}

std::string describe(std::vector<History::Violation> const& violations)
{
    std::string text;
    for (auto const& violation : violations)
        text += violation.promise + ": " + violation.detail + '\n';
    return text;
}

TestGateway::TestGateway(Gateway::GatewaySettings const& settings)
    : daemon(settings,
        [](Node::Node& node, Gateway::GatewaySettings const& own) {
            return std::make_unique<Gateway::GatewayLoop>(node, own);
        })
    , frontend(*this->daemon.component, this->daemon.settings)
{
}

TestFleet::TestFleet()
    : TestFleet(Size())
{
}

TestFleet::TestFleet(Size size)
    : size(size)
{
    Address any_port("127.0.0.1:0");
    this->platform = std::make_unique<StandIns::FakePlatform>(std::vector { any_port }, 0s);
    for (size_t i = 0; i < size.engines; ++i) {
        StandIns::FakeEngineOptions options;
        options.name = "engine-" + std::to_string(i);
        options.parameters.capacity_tokens = size.engine_capacity;
        options.time_scale = 0.25;
        options.on_change = [] { ChangeSignal::instance().notify(); };
        this->engines.push_back(std::make_unique<StandIns::FakeEngine>(any_port, options));
    }
    for (size_t i = 0; i < size.services; ++i)
        this->services.push_back(std::make_unique<StandIns::FakeService>(any_port, "service-" + std::to_string(i)));
    this->publish_backend_servers();
    this->apply(R"({"putModel":{"id":"writer"}})");
    for (auto const* name : { "toll", "hanak" }) {
        auto hash = Delivery::sha256_hexadecimal(std::string(name) + "-key");
        this->apply(std::string(R"({"putOrganisation":{"id":")") + name + R"(","apiKeyHashes":[")" + hash + "\"]}}");
        this->apply(
            std::string(R"({"putRoute":{"organisation":")") + name + R"(","name":"summary","model":"writer"}})");
    }
    this->apply(R"({"putRoute":{"organisation":"toll","name":"only-toll","model":"writer"}})");
    this->apply(R"({"putService":{"name":"till","organisations":["hanak"],"repeatablePaths":["/receipts/"]}})");
    this->apply(R"({"putResumeKey":{"id":"k1","secretHexadecimal":"000102030405060708090a0b0c0d0e0f"}})");
    this->routers.resize(size.routers);
    this->gateways.resize(size.gateways);
    for (size_t i = 0; i < size.routers; ++i)
        this->start_router(i);
    for (size_t i = 0; i < size.gateways; ++i)
        this->start_gateway(i);
    auto revision = Revision(8);
    for (auto& gateway : this->gateways) {
        wait_until("gateways to know the configuration and the routers", [&] {
            return gateway->daemon.on_loop([&] {
                auto& node = *gateway->daemon.node;
                return node.configuration().revision() >= revision && !node.backend_servers().empty()
                    && node.members().others().size() + 1 == size.routers + size.gateways;
            });
        });
    }
    for (auto& router : this->routers) {
        wait_until("routers to know the configuration", [&] {
            return router->on_loop([&] {
                return router->node->configuration().revision() >= revision && !router->node->backend_servers().empty();
            });
        });
    }
}

TestFleet::~TestFleet()
{
    // Caller-facing threads wait for their event loops, so gateways stop first, while the engines still respond.
    this->gateways.clear();
    this->operator_server.reset();
    this->routers.clear();
}

Node::NodeSettings TestFleet::node_settings(std::string const& member, int port, wire::Role role) const
{
    Node::NodeSettings settings;
    settings.member = MemberId(member);
    settings.role = role;
    settings.failure_domain = FailureDomainId(failure_domain);
    settings.peer_listen = own_address(port);
    for (size_t i = 0; i < this->size.routers; ++i)
        settings.peers.push_back(own_address(first_router_port + static_cast<int>(i)));
    settings.platform = this->platform->address(0);
    settings.platform_timeout = 1s;
    settings.status_listen = Address("127.0.0.1:0");
    settings.heartbeat_period = 100ms;
    settings.silence_limit = 1s;
    settings.configuration_poll_period = 50ms;
    settings.backend_list_poll_period = 50ms;
    return settings;
}

static std::unique_ptr<TestRouter> make_router(Node::NodeSettings const& node_settings)
{
    Router::RouterSettings settings;
    settings.node = node_settings;
    settings.load_poll_period = 50ms;
    settings.claim_period = 10ms;
    return std::make_unique<TestRouter>(settings, [](Node::Node& node, Router::RouterSettings const& own) {
        return std::make_unique<Router::RouterLoop>(node, own);
    });
}

void TestFleet::start_router(size_t number)
{
    this->routers[number] = make_router(this->node_settings(
        "router-" + std::to_string(number), first_router_port + static_cast<int>(number), wire::ROLE_ROUTER));
}

std::unique_ptr<TestRouter> TestFleet::start_remote_router() const
{
    auto settings = this->node_settings("router-elsewhere", remote_port, wire::ROLE_ROUTER);
    settings.failure_domain = FailureDomainId("hall-b");
    settings.peers.clear();
    settings.remote_peers = { own_address(first_router_port) };
    return make_router(settings);
}

static std::string test_file(std::string const& name)
{
    return std::string(LILAC_SOURCE_DIRECTORY) + "/Tests/Data/" + name;
}

void TestFleet::start_gateway(size_t number, bool is_secure)
{
    Gateway::GatewaySettings settings;
    settings.node = this->node_settings(
        "gateway-" + std::to_string(number), first_gateway_port + static_cast<int>(number), wire::ROLE_GATEWAY);
    settings.listen = Address("127.0.0.1:0");
    settings.stall_limit = 700ms;
    settings.resume_grace = 500ms;
    if (is_secure) {
        settings.tls_certificate = test_file("test-only-certificate.pem");
        settings.tls_private_key = test_file("test-only-key.pem");
    }
    this->gateways[number] = std::make_unique<TestGateway>(settings);
}

void TestFleet::start_operator(bool is_secure)
{
    Operator::OperatorSettings settings;
    settings.node = this->node_settings("operator-0", operator_port, wire::ROLE_OPERATOR);
    settings.listen = Address("127.0.0.1:0");
    if (is_secure) {
        settings.tls_certificate = test_file("test-only-certificate.pem");
        settings.tls_private_key = test_file("test-only-key.pem");
    }
    settings.operators[Delivery::sha256_hexadecimal("editor-key")] = { "vesela", Operator::OperatorRole::Editor };
    settings.operators[Delivery::sha256_hexadecimal("viewer-key")] = { "dimitar", Operator::OperatorRole::Viewer };
    this->operator_server
        = std::make_unique<TestOperator>(settings, [](Node::Node& node, Operator::OperatorSettings const& own) {
              auto created = Operator::OperatorLoop::create(node, own);
              VERIFY(created.has_value());
              return std::move(created.value());
          });
}

Address TestFleet::operator_address() const
{
    return Address("127.0.0.1:" + std::to_string(this->operator_server->component->port()));
}

size_t TestFleet::owner()
{
    auto& gateway = this->gateways[0]->daemon;
    auto id = gateway.on_loop([&] {
        auto const* row = gateway.node->owner_of("pool/writer");
        return row ? row->id.value() : std::string();
    });
    for (size_t i = 0; i < this->routers.size(); ++i) {
        if ("router-" + std::to_string(i) == id)
            return i;
    }
    return this->routers.size();
}

void TestFleet::apply(std::string const& change_json)
{
    auto change = Configuration::from_json<wire::Change>(change_json);
    REQUIRE(change.has_value());
    Configuration::ConfigurationLog log(this->platform->contents());
    Configuration::Document document;
    auto accepted = log.append(
        document, change.value(), change_json.substr(0, 100) + std::to_string(change_json.size()), "test", {});
    REQUIRE(accepted.has_value());
}

void TestFleet::publish_backend_servers()
{
    std::vector<Platform::BackendServerRecord> servers;
    for (size_t i = 0; i < this->engines.size(); ++i)
        servers.push_back({ EngineId("engine-" + std::to_string(i)), this->engines[i]->address(),
            FailureDomainId(failure_domain), ModelId("writer"), ServiceName(), TokenCount(this->size.engine_capacity),
            Platform::BackendServerState::Live, true });
    for (size_t i = 0; i < this->services.size(); ++i)
        servers.push_back(
            { EngineId("service-" + std::to_string(i)), this->services[i]->address(), FailureDomainId(failure_domain),
                ModelId(), ServiceName("till"), TokenCount(0), Platform::BackendServerState::Live, true });
    this->platform->set_hosts(Platform::format_backend_servers(servers));
}

CallerClient TestFleet::caller(std::string const& key) const
{
    std::vector<Address> addresses;
    for (auto const& gateway : this->gateways)
        addresses.emplace_back("127.0.0.1:" + std::to_string(gateway->frontend.port()));
    return CallerClient(addresses, key);
}

std::vector<GenerationResult> TestFleet::generate(size_t count, int tokens, std::function<void()> const& meanwhile)
{
    std::vector<GenerationResult> results(count);
    std::vector<std::thread> threads;
    auto client = this->caller();
    for (size_t i = 0; i < count; ++i) {
        threads.emplace_back([&, i] {
            auto prompt = "Incident " + std::to_string(i) + " [tokens=" + std::to_string(tokens) + "]";
            results[i] = CallerClient(client).generate(i, "summary", prompt, 30s);
        });
    }
    std::exception_ptr failure;
    try {
        if (meanwhile)
            meanwhile();
    } catch (...) {
        failure = std::current_exception();
    }
    for (auto& thread : threads)
        thread.join();
    if (failure)
        std::rethrow_exception(failure);
    return results;
}

History::Record TestFleet::record(std::vector<GenerationResult> const& results) const
{
    History::Record record;
    for (auto const& engine : this->engines)
        REQUIRE(History::read_lines(engine->history(), record).has_value());
    for (auto const& service : this->services)
        REQUIRE(History::read_lines(service->history(), record).has_value());
    for (auto const& result : results)
        record.generations.push_back({ result.generation, result.outcome, result.offsets, result.tokens });
    return record;
}
